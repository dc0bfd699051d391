package replica

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/crash"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/internal/wakeup"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// stateMachine is the replicated state machine. It applies committed entries in a goroutine of its
// own: readers may hold the state for as long as the planner runs, and neither messages, log writes
// nor elections may wait for them.
type stateMachine struct {
	changed  func()        // called after each change of state
	woken    wakeup.Signal // work was added
	progress wakeup.Signal // entries were applied, a snapshot was encoded, or the machine has failed

	applied atomic.Uint64 // index of the last applied entry

	workMu  sync.Mutex       // guards what follows
	work    []work           // oldest first
	encoded *quorum.Snapshot // result of the last request to encode; nil once taken
	err     error            // the error that has stopped the machine, or nil

	mu    sync.RWMutex // guards what follows
	state *state.State
	docAt time.Time // when the newest change of the document was proposed, by the proposer's clock; zero if not known
}

// work is one step of the state machine: entries to apply, a snapshot to install, or a request to
// encode the state.
type work struct {
	entries  []quorum.Entry
	replies  []pendingReply // for entries, in the order of their indexes
	snapshot *quorum.Snapshot
	encode   bool
}

// pendingReply is a proposal that waits until the entry at an index is applied.
type pendingReply struct {
	index uint64
	proposal
}

func newStateMachine(st *state.State, changed func()) *stateMachine {
	m := &stateMachine{changed: changed, woken: wakeup.New(), progress: wakeup.New(), state: st}
	m.applied.Store(uint64(st.Applied()))
	return m
}

// View calls f with the state. f must not keep or change it.
func (m *stateMachine) View(f func(s *state.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}

// document returns the version of the newest document in the state, and when its change was
// proposed; the zero time if it came with a snapshot.
func (m *stateMachine) document() (v uint64, at time.Time) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return documentVersion(m.state), m.docAt
}

// Add queues work.
func (m *stateMachine) Add(w work) {
	m.workMu.Lock()
	defer m.workMu.Unlock()
	m.work = append(m.work, w)
	m.woken.Set()
}

// Encoded returns the encoded snapshot once after each request, and nil otherwise.
func (m *stateMachine) Encoded() *quorum.Snapshot {
	m.workMu.Lock()
	defer m.workMu.Unlock()
	s := m.encoded
	m.encoded = nil
	return s
}

// Err returns the error that has stopped the machine, or nil.
func (m *stateMachine) Err() error {
	m.workMu.Lock()
	defer m.workMu.Unlock()
	return m.err
}

// Run processes work until ctx ends or a step fails.
func (m *stateMachine) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.woken:
		}
		m.workMu.Lock()
		list := m.work
		m.work = nil
		m.workMu.Unlock()
		for _, w := range list {
			if err := m.do(w); err != nil {
				m.fail(err)
				return
			}
		}
	}
}

// fail records the error that stops the machine.
func (m *stateMachine) fail(err error) {
	m.workMu.Lock()
	defer m.workMu.Unlock()
	m.err = err
	m.progress.Set()
}

func (m *stateMachine) do(w work) (err error) {
	defer errs.Annotate(&err, "state machine")
	switch {
	case w.snapshot != nil:
		err = m.install(*w.snapshot)
	case w.encode:
		err = m.encode()
	default:
		err = m.apply(w)
	}
	m.progress.Set()
	return err
}

func (m *stateMachine) install(s quorum.Snapshot) error {
	st, err := state.Decode(s.Data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	if documentVersion(st) != documentVersion(m.state) {
		m.docAt = time.Time{} // a snapshot does not record when its document changed
	}
	m.state = st
	m.mu.Unlock()
	m.applied.Store(s.Index)
	m.changed()
	return nil
}

// encode reads the state without a lock, since only this goroutine changes it.
func (m *stateMachine) encode() error {
	index := m.applied.Load()
	data, err := m.state.Encode()
	if err != nil {
		return err
	}
	m.workMu.Lock()
	defer m.workMu.Unlock()
	m.encoded = &quorum.Snapshot{Index: index, Data: data}
	return nil
}

func (m *stateMachine) apply(w work) error {
	commands, err := decode(w.entries)
	if err != nil {
		return err
	}
	m.mu.Lock()
	results := make([]state.Result, len(commands))
	for i, e := range w.entries {
		results[i] = m.applyEntry(e, commands[i])
	}
	m.mu.Unlock()
	m.applied.Store(w.entries[len(w.entries)-1].Index)
	m.answer(w, results)
	m.changed()
	return nil
}

// decode returns the commands of entries. Entries of other kinds have the zero command.
func decode(es []quorum.Entry) (list []state.Command, err error) {
	list = make([]state.Command, len(es))
	for i, e := range es {
		if e.Kind != quorum.EntryCommand {
			continue
		}
		if err := cbor.Unmarshal(e.Data, &list[i]); err != nil {
			return nil, fmt.Errorf("entry %d: %w", e.Index, err)
		}
	}
	return list, nil
}

func (m *stateMachine) applyEntry(e quorum.Entry, c state.Command) (res state.Result) {
	if e.Kind != quorum.EntryCommand {
		m.state.Skip(e.Index)
		return res
	}
	before := documentVersion(m.state)
	res = m.state.Apply(e.Index, c)
	if documentVersion(m.state) != before {
		m.docAt = rudderfork.FromMillis(c.At)
	}
	return res
}

// answer sends the results to the callers that proposed the entries.
func (m *stateMachine) answer(w work, results []state.Result) {
	first := w.entries[0].Index
	for _, p := range w.replies {
		crash.Point(crash.ControlApplied)
		i := p.index - first
		if p.term != w.entries[i].Term {
			p.reply <- outcome{err: ErrSuperseded}
			continue
		}
		p.reply <- outcome{result: results[i]}
	}
}
