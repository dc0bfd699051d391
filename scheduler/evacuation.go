package scheduler

import (
	"context"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// EvacuationView is the evacuation of a failure domain as operators see it.
type EvacuationView struct {
	queue.Evacuation
	VMs  int `json:"vms"`  // live VMs in the domain
	Runs int `json:"runs"` // runs that are still active there
}

// evacuate orders or cancels an evacuation. It returns once that is committed; from then on no
// start is committed in the failure domain.
func (s *Scheduler) evacuate(ctx context.Context, e queue.Evacuate) wire.QueueResponse {
	if !s.domainExists(e.Domain) {
		return wire.QueueResponse{Code: queue.NoDomain, Text: "no failure domain is called " + string(e.Domain)}
	}
	resp := s.commit(ctx, queue.Command{Evacuate: &e})
	s.log.Info().Str("domain", string(e.Domain)).Bool("end", e.End).Str("result", string(resp.Code)).
		Bool("unsure", resp.Unsure).Bool("not_taken", resp.NotTaken).Msg("evacuation_ordered")
	s.record("evacuation", string(e.Domain), evacuationText(e)+string(resp.Code))
	return resp
}

// evacuationText returns the first part of the event text, before the result.
func evacuationText(e queue.Evacuate) string {
	if e.End {
		return "taken back: "
	}
	return "ordered: "
}

// domainExists reports whether the settings name a failure domain, or a registered VM is in it.
func (s *Scheduler) domainExists(d rudderfork.Domain) (exists bool) {
	if s.cfg.HasDomain != nil && s.cfg.HasDomain(d) {
		return true
	}
	s.rep.View(func(st *state.State) {
		for _, vm := range st.Queues().VMs() {
			exists = exists || d != "" && vm.Domain == d
		}
	})
	return exists
}

// cordoned reports whether no more runs may be started on a VM because its failure domain is being
// evacuated.
func (s *Scheduler) cordoned(id rudderfork.VMID) (cordoned bool) {
	s.rep.View(func(st *state.State) {
		vm := st.Queues().VM(id)
		cordoned = vm != nil && st.Queues().Evacuating(vm.Domain)
	})
	return cordoned
}

// startTimeLeft returns for how long a VM may still start runs if the time left of its lease is
// left. The lease and the shorter StartWindow begin at the same contact to the leader.
func (s *Scheduler) startTimeLeft(left time.Duration) time.Duration {
	if s.cfg.StartWindow == 0 {
		return left
	}
	return max(0, left-max(0, s.cfg.Lease-s.cfg.StartWindow))
}

func evacuationViews(s *queue.State) []EvacuationView {
	views := []EvacuationView{}
	for _, e := range s.Evacuations() {
		v := EvacuationView{Evacuation: e}
		for _, vm := range s.VMs() {
			if vm.Domain == e.Domain && vm.Live {
				v.VMs++
				v.Runs += len(vm.Runs())
			}
		}
		views = append(views, v)
	}
	return views
}
