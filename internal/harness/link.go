package harness

import (
	"context"
	"fmt"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/internal/faultlink"
)

// Link is a proxied way from one process to another. Two proxies stand in a row:
// one for faults of the way itself, which strike every connection, and one that
// makes open connections silent while new ones work.
type Link struct {
	proxy *toxiproxy.Proxy
	tail  *faultlink.Proxy
}

// nowhere is where a link leads before its target has started.
const nowhere = "127.0.0.1:1"

var server = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())

func newLink(name string) (*Link, error) {
	tail, err := faultlink.New(nowhere)
	if err != nil {
		return nil, err
	}
	p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", tail.Addr())
	if err := p.Start(); err != nil {
		tail.Close()
		return nil, err
	}
	return &Link{p, tail}, nil
}

// Addr returns the address at which the link takes connections.
func (l *Link) Addr() string { return l.proxy.Listen }

// lead points the link at a target; connections made before are closed.
func (l *Link) lead(target string) {
	if l.tail.Target() != target {
		l.tail.SetTarget(target)
	}
}

// Silence makes the open connections silent both ways, for good. New ones work.
func (l *Link) Silence() { l.tail.Blackhole(faultlink.ToTarget, faultlink.ToDialer) }

// Cut drops all bytes both ways, in silence.
func (l *Link) Cut() { l.CutOneWay(true); l.CutOneWay(false) }

// CutOneWay drops all bytes in one direction: forth is from the process that
// connects to the one that listens.
func (l *Link) CutOneWay(forth bool) { l.toxic(forth, "timeout", `{"timeout": 0}`) }

// Delay adds ms milliseconds each way.
func (l *Link) Delay(ms, jitter int) {
	for _, forth := range []bool{true, false} {
		l.toxic(forth, "latency", fmt.Sprintf(`{"latency": %d, "jitter": %d}`, ms, jitter))
	}
}

// LoseAnswers closes connections after n bytes of answers.
func (l *Link) LoseAnswers(n int) { l.toxic(false, "limit_data", fmt.Sprintf(`{"bytes": %d}`, n)) }

// Heal removes all faults. Connections that were cut are closed.
func (l *Link) Heal() { l.proxy.Toxics.ResetToxics(context.Background()) }

// Break closes all connections and refuses new ones until Mend.
func (l *Link) Break() { l.proxy.Stop() }

// Mend ends a Break.
func (l *Link) Mend() error { return l.proxy.Start() }

func (l *Link) toxic(forth bool, typ, attributes string) {
	dir := "downstream"
	if forth {
		dir = "upstream"
	}
	spec := fmt.Sprintf(`{"type": %q, "stream": %q, "name": "%s-%s", "attributes": %s}`, typ, dir, typ, dir, attributes)
	// An error means that the fault is there already.
	_, _ = l.proxy.Toxics.AddToxicJson(strings.NewReader(spec))
}
