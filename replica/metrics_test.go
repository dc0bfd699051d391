package replica

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// gatherMetrics returns the values of a replica's metrics by name and label value.
func gatherMetrics(t *testing.T, r *Replica) map[string]float64 {
	t.Helper()
	reg := prometheus.NewPedanticRegistry()
	assert.NilError(t, reg.Register(NewCollector(r)))
	families, err := reg.Gather()
	assert.NilError(t, err)
	found := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			name := f.GetName()
			for _, l := range m.GetLabel() {
				name += "/" + l.GetValue()
			}
			found[name] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	return found
}

// assertMetrics asserts that a replica's metrics have these values, among others.
func assertMetrics(t *testing.T, r *Replica, want map[string]float64) {
	t.Helper()
	got := gatherMetrics(t, r)
	for name, v := range want {
		have, ok := got["rudderfork_group_"+name]
		assert.Assert(t, ok, "%s is missing", name)
		assert.Equal(t, have, v, name)
	}
}

// assertNoMetrics asserts that a replica does not export these metrics.
func assertNoMetrics(t *testing.T, r *Replica, names ...string) {
	t.Helper()
	got := gatherMetrics(t, r)
	for _, name := range names {
		_, ok := got["rudderfork_group_"+name]
		assert.Assert(t, !ok, "%s is exported", name)
	}
}

func TestMetrics(t *testing.T) {
	t.Run("without a leader", func(t *testing.T) {
		r := newReplica(t)
		assertMetrics(t, r, map[string]float64{
			"leader_known": 0, "term": 0, "commit_index": 0, "campaigns_total": 0,
			"role/follower": 1, "role/leader": 0, "voters": 1, "voters_needed": 1, "document_version": 0,
		})
		assertNoMetrics(t, r, "document_age_seconds", "voters_present")
		now := r.now()
		r.now = func() time.Time { return now.Add(time.Minute) }
		assert.Assert(t, gatherMetrics(t, r)["rudderfork_group_leaderless_seconds"] >= time.Minute.Seconds())
	})
	t.Run("the leader", func(t *testing.T) {
		r := newReplica(t)
		serve(t, r)
		waitLeads(t, r)
		_, err := r.Do(t.Context(), state.Command{Queue: &queue.Command{Document: &queue.Document{Version: 7}}})
		assert.NilError(t, err)
		assertMetrics(t, r, map[string]float64{
			"leader_known": 1, "leaderless_seconds": 0, "term": 1, "campaigns_total": 1,
			"role/follower": 0, "role/leader": 1, "voters": 1, "voters_needed": 1, "voters_present": 1,
			"document_version": 7,
		})
		age := gatherMetrics(t, r)["rudderfork_group_document_age_seconds"]
		assert.Assert(t, age >= 0 && age < joinLimit.Seconds(), "the document is %v s old", age)
	})
}

// TestDocumentOfSnapshot checks that the age of a document that came with a snapshot is not
// exported, since it is unknown.
func TestDocumentOfSnapshot(t *testing.T) {
	r := newReplica(t)
	encodeState := func(index, v uint64) []byte {
		t.Helper()
		st, err := state.Decode(nil)
		assert.NilError(t, err)
		st.Apply(index, state.Command{Queue: &queue.Command{Document: &queue.Document{Version: v}}})
		data, err := st.Encode()
		assert.NilError(t, err)
		return data
	}
	assert.NilError(t, r.machine.install(quorum.Snapshot{Index: 1, Data: encodeState(1, 7)}))
	r.machine.docAt = r.now()
	t.Run("the same", func(t *testing.T) {
		assert.NilError(t, r.machine.install(quorum.Snapshot{Index: 2, Data: encodeState(2, 7)}))
		assertMetrics(t, r, map[string]float64{"document_version": 7})
		assert.Assert(t, !r.machine.docAt.IsZero())
	})
	t.Run("another", func(t *testing.T) {
		assert.NilError(t, r.machine.install(quorum.Snapshot{Index: 3, Data: encodeState(3, 8)}))
		assertMetrics(t, r, map[string]float64{"document_version": 8})
		assertNoMetrics(t, r, "document_age_seconds")
	})
}

func waitLeads(t *testing.T, r *Replica) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.Leads() {
			return poll.Success()
		}
		return poll.Continue("the replica does not lead")
	}, poll.WithTimeout(joinLimit))
}

// TestMemberMetrics has two incarnations of a replica among the members. They share a label, so only
// the age of the newest message of both may be exported.
func TestMemberMetrics(t *testing.T) {
	r := newReplica(t)
	now := steady.Now()
	r.now = func() time.Time { return now }
	r.status.Role = quorum.Leader.String()
	r.status.Members = append(threeVoters(), quorum.Member{ID: "c2#x", Name: "c2", Voter: true})
	r.status.LastMessageAt = map[quorum.MemberID]time.Time{"c2#1": now.Add(-time.Hour), "c2#x": now.Add(-time.Second)}
	assertMetrics(t, r, map[string]float64{"word_age_seconds/c2": 1, "voters": 4, "voters_needed": 3, "voters_present": 2})
	assertNoMetrics(t, r, "word_age_seconds/c1", "word_age_seconds/c3")
}
