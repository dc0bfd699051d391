package replica

import (
	"maps"
	"slices"
)

// Addrs implements Sender.
func (p *Peers) Addrs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.links))
}
