// Package platform stands in for the platform's list of live and leaving VMs,
// which lags.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// VM is one line of the list.
type VM struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving"`
}

// Platform keeps the list.
type Platform struct {
	lag time.Duration

	mu    sync.Mutex
	since map[string]time.Time // when a VM began to leave
}

// New returns an empty list that shows changes after lag.
func New(lag time.Duration) *Platform {
	return &Platform{lag: lag, since: map[string]time.Time{}}
}

// Handler returns the list's interface: GET /vms, POST /vms/{vm}/leave.
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
