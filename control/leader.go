package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/placement"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/state"
)

const (
	// maxRoundInterval is the longest pause between two rounds of the leader.
	maxRoundInterval = 250 * time.Millisecond
	// roundDelay is the shortest pause between two rounds, so that one round handles
	// several changes.
	roundDelay = 10 * time.Millisecond
	// platformPollInterval is the time between two requests for the platform's list
	// of VMs, and the timeout of a request.
	platformPollInterval = time.Second
)

// leader does the work of the leader: it expires leases, plans evictions and
// placements, and drains VMs that the platform lists as leaving.
type leader struct {
	cfg     Settings
	rep     *replica.Replica
	hub     *hub
	planner *placement.Planner
	log     zerolog.Logger
	rec     rudderfork.Recorder
	hc      *http.Client

	term             uint64 // for which startTerm was called; 0 while this replica doesn't lead
	nextPlatformPoll time.Time
}

func newLeader(cfg Settings, rep *replica.Replica, h *hub, p *placement.Planner, log zerolog.Logger, rec rudderfork.Recorder) *leader {
	return &leader{cfg: cfg, rep: rep, hub: h, planner: p, log: log, rec: rec, hc: &http.Client{Timeout: platformPollInterval}}
}

// String names the service in the supervisor's log.
func (l *leader) String() string { return "leader" }

// Serve implements suture.Service.
func (l *leader) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := l.rep.Changed()
		if l.rep.Leads() {
			l.round(ctx)
		} else {
			l.term = 0
		}
		wait := time.NewTimer(maxRoundInterval)
		select {
		case <-ctx.Done():
		case <-changed:
			steady.Pause(ctx, roundDelay)
		case <-wait.C:
		}
		wait.Stop()
	}
	return ctx.Err()
}

func (l *leader) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if term := l.rep.Status().Term; term != l.term {
		if l.rep.Barrier(ctx) != nil {
			return
		}
		l.startTerm(term)
	}
	l.expire(ctx)
	l.plan(ctx)
	if now := steady.Now(); l.cfg.Platform != "" && now.After(l.nextPlatformPoll) {
		l.nextPlatformPoll = now.Add(platformPollInterval)
		l.drainLeavingVMs(ctx)
	}
}

// startTerm starts a term of leadership, in which each live VM may still hold a lease
// of an earlier leader.
func (l *leader) startTerm(term uint64) {
	var vms []rudderfork.VMID
	l.rep.View(func(s *state.State) {
		for _, v := range s.VMs() {
			if v.Live {
				vms = append(vms, v.Place.VM)
			}
		}
	})
	l.term = term
	l.hub.startTerm(term, vms, steady.Now())
	l.log.Info().Uint64("term", term).Int("vms", len(vms)).Msg("leading")
}

// expire commits the loss of VMs whose lease has certainly expired, which frees
// their tasks.
func (l *leader) expire(ctx context.Context) {
	var lost []state.VMLoss
	l.rep.View(func(s *state.State) {
		for _, v := range s.VMs() {
			if v.Live && l.hub.tryExpire(v.Place.VM, steady.Now()) {
				lost = append(lost, state.VMLoss{VM: v.Place.VM, Epoch: v.Epoch})
			}
		}
	})
	for _, loss := range lost {
		res, err := l.rep.Do(ctx, state.Command{Lost: &loss})
		if err != nil || res.Code != state.CodeOK {
			continue
		}
		l.log.Warn().Str("lost_vm", string(loss.VM)).Msg("vm_lost")
		l.rec.Record(rudderfork.Event{Kind: "vm_lost", Subject: string(loss.VM), Revision: res.Revision, Text: "its lease ran out"})
	}
}

// plan commits the evictions and placements of one round of planning, and which jobs
// are blocked.
func (l *leader) plan(ctx context.Context) {
	var p placement.Plan
	l.rep.View(func(s *state.State) { p = l.planner.PlanRound(s, steady.Now()) })
	if len(p.Evict.Evictions) > 0 {
		if _, err := l.rep.Do(ctx, state.Command{Evict: &p.Evict}); err == nil {
			for _, e := range p.Evict.Evictions {
				l.rec.Record(rudderfork.Event{Kind: "evicting", Subject: string(e.Task), Text: e.Reason})
			}
		}
	}
	if len(p.Place.Placements) == 0 && len(p.Place.Blocked) == 0 {
		return
	}
	res, err := l.rep.Do(ctx, state.Command{Place: &p.Place})
	if err != nil {
		return
	}
	for i, pl := range p.Place.Placements {
		if res.Placed[i] {
			l.rec.Record(rudderfork.Event{Kind: "placed", Subject: string(pl.Task), Revision: res.Revision, Text: fmt.Sprintf("on %s: %s", pl.VM, pl.Reason)})
		}
	}
	for _, b := range p.Place.Blocked {
		l.rec.Record(rudderfork.Event{Kind: "blocked", Subject: string(b.Job), Revision: res.Revision, Text: b.Reason})
	}
}

// PlatformVM is an entry of the platform's list of VMs, which may be out of date.
type PlatformVM struct {
	VM      rudderfork.VMID `json:"vm"`
	Leaving bool            `json:"leaving"`
}

// drainLeavingVMs drains the VMs that the platform lists as leaving. The list may
// be out of date, so a VM that it doesn't list as leaving stays as it is.
func (l *leader) drainLeavingVMs(ctx context.Context) {
	list, err := l.fetchVMList(ctx)
	if err != nil {
		return // the next poll tries again, and agents report their own stop
	}
	var drains []state.Drain
	l.rep.View(func(s *state.State) {
		for _, p := range list {
			if v := s.VM(p.VM); v != nil && p.Leaving && !v.Draining {
				drains = append(drains, state.Drain{VM: p.VM})
			}
		}
	})
	for _, d := range drains {
		if _, err := l.rep.Do(ctx, state.Command{Drain: &d}); err == nil {
			l.rec.Record(rudderfork.Event{Kind: "draining", Subject: string(d.VM), Text: "the platform says it is leaving"})
		}
	}
}

func (l *leader) fetchVMList(ctx context.Context) (list []PlatformVM, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.cfg.Platform+"/vms", nil)
	if err != nil {
		return nil, err
	}
	resp, err := l.hc.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return list, json.NewDecoder(resp.Body).Decode(&list)
}
