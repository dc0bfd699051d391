// Package platform is a test double of the platform's list of leaving VMs, which shows
// changes with a lag.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// VM is one entry of the list.
type VM struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving"`
}

// Platform keeps the list of leaving VMs. It is safe for concurrent use.
type Platform struct {
	lag time.Duration

	mu    sync.Mutex
	since map[string]time.Time // when each VM was marked as leaving
}

// New returns a platform with an empty list, which shows a VM as leaving after lag.
func New(lag time.Duration) *Platform {
	return &Platform{lag: lag, since: map[string]time.Time{}}
}

// Handler returns the HTTP interface: GET /vms and POST /vms/{vm}/leave.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", p.list)
	mux.HandleFunc("POST /vms/{vm}/leave", p.leave)
	return mux
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := []VM{}
	for vm, at := range p.since {
		if time.Since(at) >= p.lag {
			vms = append(vms, VM{vm, true})
		}
	}
	_ = json.NewEncoder(w).Encode(vms)
}

func (p *Platform) leave(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.since[r.PathValue("vm")]; !ok {
		p.since[r.PathValue("vm")] = time.Now()
	}
}
