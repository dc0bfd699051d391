package scheduler

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/fairshare"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/learned"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/swing"
	"rudderfork.example/rudderfork/worktime"
)

const (
	// keepInterval is the interval between two records of what the leader has learned. A new
	// leader lacks at most what was learned in this time.
	keepInterval = 2 * time.Second
	// keptLogPause is the minimum time between two log lines on records that were committed.
	keptLogPause = 10 * time.Second
)

// learnedModel is a model of the leader that has a section in the record for its successor.
type learnedModel struct {
	section string
	version int // of the section; a new leader ignores sections of other versions
	// changes returns a comparable value that changes when the model has learned something.
	changes func(f *fleet) any
	// snapshot returns the content of the section and the number of its entries.
	snapshot func(f *fleet, now time.Time) (content any, entries int)
	restore  restoreFunc
}

// restoreFunc adds the content of a section of the given age to the model of a new term. It returns
// how many entries were added, and how many were invalid.
type restoreFunc func(f *fleet, decode func(content any) error, age time.Duration, now time.Time) (entries, invalid int, err error)

// restorer returns a restoreFunc for sections whose content is a T.
func restorer[T any](add func(f *fleet, content T, age time.Duration, now time.Time) (entries, invalid int)) restoreFunc {
	return func(f *fleet, decode func(any) error, age time.Duration, now time.Time) (entries, invalid int, err error) {
		var content T
		if err := decode(&content); err != nil {
			return 0, 0, err
		}
		entries, invalid = add(f, content, age, now)
		return entries, invalid, nil
	}
}

// learnedModels are the models that are kept, the most important first: a section that does not fit
// into the record is left out.
var learnedModels = []learnedModel{
	{
		section: "demand", version: 1,
		changes: func(f *fleet) any {
			s, _ := f.shortDemand.Snapshot(time.Time{})
			s.AgeMS = 0
			return s
		},
		snapshot: func(f *fleet, now time.Time) (any, int) {
			if s, ok := f.shortDemand.Snapshot(now); ok {
				return s, 1
			}
			return nil, 0
		},
		restore: restorer(func(f *fleet, s dispatch.DemandSnapshot, age time.Duration, now time.Time) (entries, invalid int) {
			return f.shortDemand.Restore(s, age, now)
		}),
	},
	{
		section: "swing", version: 1,
		changes: func(f *fleet) any { return f.swings.Changes() },
		snapshot: func(f *fleet, now time.Time) (any, int) {
			s := f.swings.Snapshot(now)
			return s, s.Len()
		},
		restore: restorer(func(f *fleet, s swing.Snapshot, age time.Duration, now time.Time) (entries, invalid int) {
			return f.swings.Restore(s, age, now)
		}),
	},
	{
		section: "pressure", version: 1,
		changes: func(f *fleet) any { return f.pressures.model.Changes() },
		snapshot: func(f *fleet, now time.Time) (any, int) {
			s := f.pressures.model.Snapshot(now)
			return s, len(s)
		},
		restore: restorer(func(f *fleet, s []interference.PairSnapshot, age time.Duration, now time.Time) (entries, invalid int) {
			return f.pressures.model.Restore(s, age, now)
		}),
	},
	{
		section: "worktime", version: 1,
		changes: func(f *fleet) any { return f.workTimes.Changes() },
		snapshot: func(f *fleet, now time.Time) (any, int) {
			s := f.workTimes.Snapshot(now)
			return s, len(s)
		},
		restore: restorer(func(f *fleet, s []worktime.LineSnapshot, age time.Duration, now time.Time) (entries, invalid int) {
			return f.workTimes.Restore(s, age, now)
		}),
	},
	{
		section: "shares", version: 1,
		changes: func(f *fleet) any { return f.shares.ObservedAt() },
		snapshot: func(f *fleet, _ time.Time) (any, int) {
			s := f.shares.Snapshot()
			return s, len(s.Groups)
		},
		restore: restorer(func(f *fleet, s fairshare.Snapshot, age time.Duration, now time.Time) (entries, invalid int) {
			return f.shares.Restore(s, rudderfork.Millis(now.Add(-age)))
		}),
	},
}

// handover keeps what the leader has learned for its successor (package learned). It is guarded by
// the scheduler's mu.
type handover struct {
	watch     learned.Watch // of the record that the replica holds
	dueAt     time.Time     // when the next record is due
	termStart time.Time     // when the leader's term started
	kept      []any         // learnedModel.changes as of the newest record that was committed
	pending   bool          // a record is being made or committed
	logAt     time.Time     // when a record that was committed is logged next

	commits sync.WaitGroup // of records
}

// observeLearned notes the record of learned state that the replica holds.
func (s *Scheduler) observeLearned() {
	if !s.cfg.Policies.KeepLearned {
		return
	}
	term := s.rep.Status().Term
	s.rep.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.handover.watch.Observe(st.Queues().Learned(), term, steady.Now())
	})
}

// assumeLearned restores what the previous leader has kept into the fleet of a new term. The caller
// holds mu, and has called observeLearned.
func (s *Scheduler) assumeLearned(now time.Time) {
	if !s.cfg.Policies.KeepLearned {
		return
	}
	h := &s.handover
	h.dueAt, h.termStart, h.kept = now.Add(keepInterval), now, nil
	if len(h.watch.Data()) == 0 {
		return
	}
	age := h.watch.Age(now)
	record, err := learned.Decode(h.watch.Data())
	if err != nil {
		s.log.Warn().Err(err).Msg("learned_discarded")
	}
	line := s.log.Info().Bool("age_known", age < learned.UnknownAge)
	if age < learned.UnknownAge {
		line = line.Dur("age", age)
	}
	for _, m := range learnedModels {
		decode := func(content any) error { return record.Section(m.section, m.version, content) }
		entries, invalid, err := m.restore(s.fleet, decode, age, now)
		if err != nil && !errors.Is(err, learned.ErrNoSection) || invalid > 0 {
			s.log.Warn().Str("model", m.section).Int("invalid", invalid).AnErr("error", err).Msg("learned_discarded")
		}
		line = line.Int(m.section, entries)
	}
	line.Msg("learned_assumed")
}

// keepLearned starts the commit of a record if one is due, and does not wait for it. It is called
// after the starts of a round are committed, so that the record is not written ahead of them.
func (s *Scheduler) keepLearned(ctx context.Context) {
	if !s.cfg.Policies.KeepLearned {
		return
	}
	now := steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.handover
	if h.pending || !due(&h.dueAt, keepInterval, now) {
		return
	}
	h.pending = true
	h.commits.Go(func() { s.commitLearned(ctx) })
}

// commitLearned commits what the leader has learned, if that has changed since the last commit. An
// error is logged; the next record is due after the usual interval.
func (s *Scheduler) commitLearned(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.handover.pending = false
	}()
	began := steady.Now()
	r, ok := s.makeRecord(began)
	if !ok {
		return
	}
	data, err := r.encode(s.logSectionTooLarge)
	if err != nil {
		s.log.Error().Err(err).Msg("learned_not_kept")
		return
	}
	res, err := s.do(ctx, queue.Command{Learned: data})
	if err != nil || res.Code != queue.OK {
		s.log.Warn().Int("bytes", len(data)).Str("result", string(res.Code)).Str("text", res.Text).AnErr("error", err).Msg("learned_not_kept")
		return
	}
	now := steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == r.origin.Term {
		s.handover.kept = r.changes
	}
	if due(&s.handover.logAt, keptLogPause, now) {
		s.log.Info().Int("bytes", len(data)).Int("entries", r.entries).Dur("took", now.Sub(began)).Msg("learned_kept")
	}
}

func (s *Scheduler) logSectionTooLarge(err error) { s.log.Warn().Err(err).Msg("learned_discarded") }

// learnedRecord is the content of a record of learned state.
type learnedRecord struct {
	origin   learned.Origin
	contents []any // by index of learnedModels; nil for a model without entries
	changes  []any // learnedModel.changes at the time of the record
	entries  int
}

// makeRecord returns a record of what the leader has learned. ok is false if that has not changed
// since the last record that was committed.
func (s *Scheduler) makeRecord(now time.Time) (r learnedRecord, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range learnedModels {
		r.changes = append(r.changes, m.changes(s.fleet))
	}
	h := &s.handover
	if s.term == 0 || slices.Equal(r.changes, h.kept) {
		return r, false
	}
	r.origin = learned.Origin{Term: s.term, Since: now.Sub(h.termStart)}
	for _, m := range learnedModels {
		content, entries := m.snapshot(s.fleet, now)
		if entries == 0 {
			content = nil
		}
		r.contents = append(r.contents, content)
		r.entries += entries
	}
	return r, true
}

// encode encodes the record. It leaves out sections that cannot be encoded or do not fit, and
// calls discard with the error.
func (r *learnedRecord) encode(discard func(error)) ([]byte, error) {
	enc, err := learned.NewEncoder(r.origin, queue.MaxLearned)
	if err != nil {
		return nil, err
	}
	for i, m := range learnedModels {
		if r.contents[i] == nil {
			continue
		}
		if err := enc.Add(m.section, m.version, r.contents[i]); err != nil {
			discard(err)
		}
	}
	return enc.Bytes(), nil
}

// learnedCollectors returns the metrics of the record of learned state, if it is kept.
func (s *Scheduler) learnedCollectors() []prometheus.Collector {
	if !s.cfg.Policies.KeepLearned {
		return nil
	}
	gauge := func(name, help string, value func(w *learned.Watch) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "rudderfork", Subsystem: "queue", Name: name, Help: help}, func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return value(&s.handover.watch)
		})
	}
	return []prometheus.Collector{
		gauge("learned_bytes", "Size of the record of learned state that this process holds.", func(w *learned.Watch) float64 {
			return float64(len(w.Data()))
		}),
		gauge("learned_age_seconds", "Time since this process first saw the record of learned state that it holds; 0 if it holds none.", func(w *learned.Watch) float64 {
			return w.SeenFor(steady.Now()).Seconds()
		}),
	}
}
