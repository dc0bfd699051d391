package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/learned"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/replica"
)

var (
	keepLearned = Settings{Lease: testLease, Policies: Policies{KeepLearned: true}}
	swingingKey = queue.StepKey{Job: "feed"}
)

// logLines is a log whose lines a test can read.
type logLines struct {
	mu  sync.Mutex
	out bytes.Buffer
}

// Write implements io.Writer.
func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

// of returns the lines with a message.
func (l *logLines) of(message string) (found []map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.out.String()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["message"] == message {
			found = append(found, fields)
		}
	}
	return found
}

// keepingCluster is a gated cluster whose leader keeps what it learns.
type keepingCluster struct {
	*gatedCluster
	log *logLines
}

// newKeepingCluster returns a cluster whose leader has a lasting job with a forecast, and has
// observed the work time of a task.
func newKeepingCluster(t *testing.T) *keepingCluster {
	c := &keepingCluster{newGatedCluster(t, keepLearned), &logLines{}}
	c.sched.log = zerolog.New(c.log)
	c.commit(servedDocument)
	c.commit(servedSubmit)
	learnSwing(c.sched)
	c.sched.fleet.workTimes.Observe("q", queue.StepKey{Job: "j"}, observedStep, 400, steady.Now())
	return c
}

// observedStep is the step of the task whose work time was observed.
var observedStep = &queue.Step{Count: 1, ExpectedMS: 100}

var (
	servedDocument = queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
		Pools: []queue.Pool{{Service: "desk"}},
	}}
	servedSubmit = queue.Command{Submit: &queue.Submit{
		Host: testHost, Path: "/q/feed", Spec: queue.Spec{Steps: []queue.Step{{Count: 1, Lasting: true, TailMS: 20, Image: "audio"}}},
	}}
)

// learnSwing has a leader observe the load of the lasting job up to now.
func learnSwing(s *Scheduler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := steady.Now()
	for i := range 200 {
		at := now.Add(time.Duration(i-200) * 100 * time.Millisecond)
		s.fleet.swings.Observe("q", swingingKey, headroom(0, at), at)
	}
}

// hasForecast reports whether a scheduler has a forecast of the lasting job.
func hasForecast(s *Scheduler) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.fleet.swings.Forecast("q", swingingKey, steady.Now())
	return ok
}

// keepNow has the leader commit a record, and returns when the attempt is over.
func (c *keepingCluster) keepNow() {
	c.makeDue()
	c.sched.keepLearned(c.ctx)
	c.sched.handover.commits.Wait()
	c.sched.observeLearned()
}

// makeDue makes the next record due.
func (c *keepingCluster) makeDue() {
	c.sched.mu.Lock()
	defer c.sched.mu.Unlock()
	c.sched.handover.dueAt = time.Time{}
}

// recordPending reports whether a record is being made or committed.
func (c *keepingCluster) recordPending() bool {
	c.sched.mu.Lock()
	defer c.sched.mu.Unlock()
	return c.sched.handover.pending
}

// TestKeepLearned guards against a record that is not made, not restored or restored wrongly.
func TestKeepLearned(t *testing.T) {
	t.Run("a new term has the forecasts of the one before", func(t *testing.T) {
		c := newKeepingCluster(t)
		c.keepNow()
		assert.Equal(t, len(c.log.of("learned_kept")), 1)
		c.sched.startTerm(c.rep.Status().Term)
		assert.Assert(t, hasForecast(c.sched))
		line := c.log.of("learned_assumed")[0]
		assert.Equal(t, fmt.Sprint(line["age_known"], line["swing"]), "true 1")
	})
	t.Run("nothing is committed while nothing is learned", func(t *testing.T) {
		c := newKeepingCluster(t)
		c.keepNow()
		last := c.rep.Status().LastIndex
		c.keepNow()
		assert.Equal(t, c.rep.Status().LastIndex, last)
		learnSwing(c.sched)
		c.keepNow()
		assert.Equal(t, c.rep.Status().LastIndex, last+1)
		assert.Equal(t, len(c.log.of("learned_kept")), 1, "each of two records within 10 s is logged")
	})
	t.Run("a process that finds a record when it starts takes everything but the phases", func(t *testing.T) {
		c := newKeepingCluster(t)
		c.keepNow()
		second := New(keepLearned, c.rep, nil, zerolog.New(c.log), noPeers{})
		second.startTerm(c.rep.Status().Term)
		assert.Assert(t, !hasForecast(second))
		assert.Assert(t, second.fleet.workTimes.Estimate("q", swingingKey, observedStep) > 200)
		assert.Equal(t, c.log.of("learned_assumed")[0]["age_known"], false)
	})
	t.Run("no record is made after the end of the term", func(t *testing.T) {
		c := newKeepingCluster(t)
		c.sched.endTerm()
		last := c.rep.Status().LastIndex
		c.keepNow()
		c.sched.commitLearned(c.ctx) // as if the term had ended before this
		assert.Equal(t, c.rep.Status().LastIndex, last)
	})
	t.Run("a record of the term before does not count as one of the new term", func(t *testing.T) {
		c := newKeepingCluster(t)
		release := c.blockCommits()
		last := c.rep.Status().LastIndex
		c.makeDue()
		c.sched.keepLearned(c.ctx)
		c.waitUntil("the record is proposed", func() bool { return c.rep.Status().LastIndex > last })
		c.sched.startTerm(c.rep.Status().Term + 1)
		release()
		c.sched.handover.commits.Wait()
		assert.Equal(t, len(c.log.of("learned_kept")), 1)
		assert.Assert(t, c.sched.handover.kept == nil)
	})
	t.Run("off", func(t *testing.T) {
		c := newKeepingCluster(t)
		c.keepNow()
		before := len(c.sched.Collectors())
		c.sched.cfg.Policies.KeepLearned = false
		last := c.rep.Status().LastIndex
		learnSwing(c.sched)
		c.keepNow()
		assert.Equal(t, c.rep.Status().LastIndex, last)
		c.sched.startTerm(c.rep.Status().Term)
		assert.Assert(t, !hasForecast(c.sched))
		assert.Equal(t, len(c.log.of("learned_assumed")), 0)
		assert.Equal(t, len(c.sched.Collectors()), before-2)
	})
}

// TestRecordFails guards against a record that delays starts, is committed again and again, or
// keeps a new leader from leading.
func TestRecordFails(t *testing.T) {
	t.Run("starts are proposed while its commit is blocked", func(t *testing.T) {
		c := newKeepingCluster(t)
		vm := onlyVM
		vm.Capacity.CPUMilli = 4000
		conn := c.registerAgent(vm)
		c.blockCommits()
		last := c.rep.Status().LastIndex
		for range 2 { // one record is proposed at a time
			c.makeDue()
			c.sched.keepLearned(c.ctx)
		}
		c.waitUntil("the record is proposed", func() bool { return c.rep.Status().LastIndex == last+1 })
		c.sendHeartbeat(conn, vm, 2)
		assert.Assert(t, c.nextGrant(conn) != nil)
		ended := make(chan struct{})
		go func() { defer close(ended); c.sched.round(c.ctx) }()
		t.Cleanup(func() { <-ended })
		c.waitUntil("the start is proposed", func() bool { return c.rep.Status().LastIndex == last+2 })
	})
	t.Run("it is not proposed ahead of the starts of its round", func(t *testing.T) {
		c := newKeepingCluster(t)
		vm := onlyVM
		vm.Capacity.CPUMilli = 4000
		conn := c.registerAgent(vm)
		c.sendHeartbeat(conn, vm, 2)
		assert.Assert(t, c.nextGrant(conn) != nil)
		c.blockCommits()
		last := c.rep.Status().LastIndex
		c.makeDue()
		ended := make(chan struct{})
		go func() { defer close(ended); c.sched.round(c.ctx) }()
		t.Cleanup(func() { <-ended })
		c.waitUntil("the start is proposed", func() bool { return c.rep.Status().LastIndex > last })
		assert.Assert(t, !c.recordPending())
	})
	t.Run("a failed commit is not repeated before the next interval", func(t *testing.T) {
		c := newKeepingCluster(t)
		ctx, cancel := context.WithCancel(c.ctx)
		cancel()
		c.makeDue()
		before := steady.Now()
		c.sched.keepLearned(ctx)
		c.sched.handover.commits.Wait()
		assert.Assert(t, !c.sched.handover.dueAt.Before(before.Add(keepInterval)))
		c.sched.handover.dueAt = before.Add(time.Hour) // however slow the machine is
		c.sched.keepLearned(ctx)
		c.sched.handover.commits.Wait()
		assert.Equal(t, len(c.log.of("learned_not_kept")), 1)
		c.keepNow()
		assert.Equal(t, len(c.log.of("learned_kept")), 1)
	})
	t.Run("the older of two leaders", func(t *testing.T) {
		c := newKeepingCluster(t)
		release := c.blockCommits()
		before := c.rep.Status()
		c.makeDue()
		c.sched.keepLearned(c.ctx)
		c.waitUntil("the record is proposed", func() bool { return c.rep.Status().LastIndex > before.LastIndex })
		c.rep.Step(c.ctx, quorum.Message{
			Type: quorum.MsgAppend, From: "d#1", To: before.ID, Term: before.Term + 1, LogIndex: before.LastIndex, LogTerm: before.Term,
			Commit: before.LastIndex, Entries: []quorum.Entry{{Index: before.LastIndex + 1, Term: before.Term + 1, Kind: quorum.EntryNoop}},
		})
		release()
		c.sched.handover.commits.Wait()
		assert.Equal(t, len(c.log.of("learned_not_kept")), 1)
	})
	damage := func(data []byte) []byte {
		data = bytes.Clone(data)
		data[len(data)-5] ^= 0xff // in the section worktime
		return data
	}
	otherVersion := func([]byte) []byte {
		e, err := learned.NewEncoder(learned.Origin{}, queue.MaxLearned)
		assert.NilError(t, err)
		assert.NilError(t, e.Add("worktime", 99, "anything"))
		return e.Bytes()
	}
	for name, edit := range map[string]func([]byte) []byte{
		"damaged":           damage,
		"truncated":         func(data []byte) []byte { return data[:len(data)-5] },
		"of other contents": func([]byte) []byte { return []byte("nonsense") },
		"of other versions": otherVersion,
	} {
		t.Run(name, func(t *testing.T) {
			c := newKeepingCluster(t)
			c.keepNow()
			c.commit(queue.Command{Learned: edit(c.sched.handover.watch.Data())})
			c.sched.startTerm(c.rep.Status().Term)
			assert.Equal(t, len(c.log.of("learned_discarded")), 1)
			assert.Equal(t, c.log.of("learned_assumed")[0]["worktime"], 0.0)
			assert.Assert(t, c.sched.fleet.workTimes.Estimate("q", swingingKey, observedStep) < 101)
		})
	}
}

// keepingGroup is a group of three control processes that exchange messages in memory.
type keepingGroup struct {
	*testCluster
	members map[quorum.MemberID]*keepingMember
}

type keepingMember struct {
	rep   *replica.Replica
	sched *Scheduler
	log   logLines
	stop  context.CancelFunc
}

// groupSender sends the messages of one member of a group.
type groupSender struct {
	noPeers
	g *keepingGroup
}

// Send implements replica.Sender.
func (s groupSender) Send(m quorum.Message) { go s.g.members[m.To].rep.Step(s.g.ctx, m) }

func newKeepingGroup(t *testing.T) *keepingGroup {
	g := &keepingGroup{testCluster: &testCluster{t: t, ctx: t.Context()}, members: map[quorum.MemberID]*keepingMember{}}
	group := []quorum.Member{{ID: "a#1", Name: "a", Voter: true}, {ID: "b#1", Name: "b", Voter: true}, {ID: "c#1", Name: "c", Voter: true}}
	for _, member := range group {
		dir := filepath.Join(t.TempDir(), member.Name)
		assert.NilError(t, disk.Format(dir, disk.Identity{ID: member.ID, Members: group}))
		store, err := disk.Open(dir)
		assert.NilError(t, err)
		m := &keepingMember{}
		g.members[member.ID] = m
		cfg := replica.Config{ElectionTimeout: time.Second, Heartbeat: 100 * time.Millisecond, SnapshotEvery: 1000, Seed: replica.Seed(member.Name)}
		m.rep, err = replica.New(cfg, store, groupSender{g: g}, zerolog.Nop(), noPeers{}, steady.Now)
		assert.NilError(t, err)
		m.sched = New(keepLearned, m.rep, nil, zerolog.New(&m.log), noPeers{})
	}
	for _, m := range g.members {
		ctx, cancel := context.WithCancel(t.Context())
		m.stop = cancel
		var wg sync.WaitGroup
		wg.Go(func() { _ = m.rep.Serve(ctx) })
		wg.Go(func() { _ = m.sched.Serve(ctx) })
		t.Cleanup(func() { cancel(); wg.Wait() })
	}
	return g
}

// leader waits until a member other than one leads in a term of the queues.
func (g *keepingGroup) leader(other *keepingMember) (found *keepingMember) {
	g.t.Helper()
	g.waitUntil("a member leads", func() bool {
		for _, m := range g.members {
			if m != other && m.rep.Leads() && m.sched.currentTerm() == m.rep.Status().Term {
				found = m
			}
		}
		return found != nil
	})
	return found
}

// TestLeaderOfGroupLost guards against followers that do not know the age of the record when one of
// them takes over.
func TestLeaderOfGroupLost(t *testing.T) {
	g := newKeepingGroup(t)
	first := g.leader(nil)
	for _, cmd := range []queue.Command{servedDocument, servedSubmit} {
		_, err := first.sched.do(g.ctx, cmd)
		assert.NilError(t, err)
	}
	for _, m := range g.members {
		g.waitUntil("all members know the age of a record", func() bool {
			learnSwing(first.sched) // if a member was late for one record, there is another
			m.sched.mu.Lock()
			defer m.sched.mu.Unlock()
			return m.sched.handover.watch.Age(steady.Now()) < learned.UnknownAge
		})
	}
	first.stop()
	second := g.leader(first)
	assert.Equal(t, second.log.of("learned_assumed")[0]["age_known"], true)
}
