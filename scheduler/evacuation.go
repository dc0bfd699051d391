package scheduler

import (
	"context"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// EvacuationView is a failure domain whose evacuation is ordered, as operators see it.
type EvacuationView struct {
	queue.Evacuation
	VMs  int `json:"vms"`  // live ones there
	Runs int `json:"runs"` // that are active there still
}

// evacuate orders an evacuation or takes it back. It is answered once a quorum holds it,
// and from then on no start is committed there.
func (s *Scheduler) evacuate(ctx context.Context, e queue.Evacuate) wire.QueueResponse {
	if !s.domainExists(e.Domain) {
		return wire.QueueResponse{Code: queue.NoDomain, Text: "no failure domain is called " + string(e.Domain)}
	}
	ans := s.commit(ctx, queue.Command{Evacuate: &e})
	s.log.Info().Str("domain", string(e.Domain)).Bool("end", e.End).Str("result", string(ans.Code)).
		Bool("unsure", ans.Unsure).Bool("not_taken", ans.NotTaken).Msg("evacuation_ordered")
	s.record("evacuation", string(e.Domain), evacuationText(e)+string(ans.Code))
	return ans
}

func evacuationText(e queue.Evacuate) string {
	if e.End {
		return "taken back: "
	}
	return "ordered: "
}

// domainExists reports whether the settings name a failure domain, or a VM is in it.
func (s *Scheduler) domainExists(d rudderfork.Domain) (known bool) {
	if s.cfg.HasDomain != nil && s.cfg.HasDomain(d) {
		return true
	}
	s.rep.View(func(st *state.State) {
		for _, vm := range st.Queues().VMs() {
			known = known || d != "" && vm.Domain == d
		}
	})
	return known
}

// cordoned reports whether nothing more is to be started on a VM.
func (s *Scheduler) cordoned(id rudderfork.VMID) (closed bool) {
	s.rep.View(func(st *state.State) {
		vm := st.Queues().VM(id)
		closed = vm != nil && st.Queues().Evacuating(vm.Domain)
	})
	return closed
}

// startTimeLeft is what of a lease's rest is left for starts: they may be made for the
// shorter StartSpan, counted from the same time.
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
