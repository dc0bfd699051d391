package scheduler

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/fairshare"
	"rudderfork.example/rudderfork/front"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/timeline"
	"rudderfork.example/rudderfork/wire"
)

// newSharingCluster returns a cluster with one VM and the policies, and its log.
func newSharingCluster(t *testing.T, p Policies) (*testCluster, *logLines) {
	log := &logLines{}
	rep := newReplica(t, selfMember)
	c := &testCluster{t: t, ctx: t.Context()}
	c.sched = New(Settings{Lease: testLease, StatusRetention: time.Minute, Policies: p}, rep, nil, zerolog.New(log), noPeers{})
	c.addr = serveSessions(t, c.sched)
	c.front = front.New("front", c.seeds, zerolog.Nop())
	c.serve(rep, c.sched, c.front)
	c.putDocument(nil)
	c.addVM(executor.Config{})
	return c, log
}

// flood submits more jobs of two origins than fit on the VM.
func (c *testCluster) flood() {
	for i := range 6 {
		for _, origin := range []string{"north", ""} {
			resp := c.send(wire.QueueRequest{Submit: &queue.Submit{
				Host: testHost, Path: fmt.Sprintf("/q/%s-%d", origin, i), Origin: origin,
				Spec: queue.Spec{Payload: "work=1m", Steps: []queue.Step{{Count: 1, Size: rudderfork.Resources{CPUMilli: 1_000}, ExpectedMS: 60_000}}},
			}})
			assert.Equal(c.t, resp.Code, queue.OK, "%+v", resp)
		}
	}
}

// shareViews reads the shares through the operators' interface.
func (c *testCluster) shareViews() (views []fairshare.Status) {
	c.t.Helper()
	mux := http.NewServeMux()
	c.sched.Routes(mux, timeline.NewRing("c", rudderfork.Place{}, 1, time.Now))
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/queue-shares", nil))
	assert.Equal(c.t, w.Code, http.StatusOK)
	assert.NilError(c.t, json.Unmarshal(w.Body.Bytes(), &views))
	return views
}

// attained returns the values of the gauge by origin.
func (c *testCluster) attained() map[string]float64 {
	c.t.Helper()
	reg := prometheus.NewRegistry()
	reg.MustRegister(c.sched.Collectors()...)
	families, err := reg.Gather()
	assert.NilError(c.t, err)
	by := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "rudderfork_queue_attained_core_seconds" {
				by[m.GetLabel()[0].GetValue()] = m.GetGauge().GetValue()
			}
		}
	}
	return by
}

// TestShares guards against shares that operators cannot see, and against shares that no setting
// asks for.
func TestShares(t *testing.T) {
	t.Run("on", func(t *testing.T) {
		c, log := newSharingCluster(t, Policies{ShareFairly: true, ShareWeights: map[rudderfork.Domain]int{"north": 3}})
		c.flood()
		c.waitUntil("both origins have attained service", func() bool { by := c.attained(); return by["north"]+by[""] > 1 })
		views := c.shareViews()
		assert.Equal(t, len(views), 2)
		for i, want := range []fairshare.Status{{Group: fairshare.Group{Queue: "q"}, Weight: 1, Share: 0.25}, {Group: fairshare.Group{Queue: "q", Origin: "north"}, Weight: 3, Share: 0.75}} {
			got := views[i]
			assert.Assert(t, got.Waiting > 0, "%+v", got)
			assert.DeepEqual(t, fairshare.Status{Group: got.Group, Weight: got.Weight, Share: got.Share}, want)
		}
		for _, origin := range []string{"", "north"} {
			c.waitUntil("the log has the shares", func() bool {
				return slices.ContainsFunc(log.of("shares"), func(line map[string]any) bool {
					return line["origin"] == origin && line["groups"] == 2.0 && line["waiting"] != nil && line["lag"] != nil
				})
			})
		}
	})
	t.Run("off", func(t *testing.T) {
		c, log := newSharingCluster(t, Policies{})
		c.flood()
		c.waitUntil("a summary is logged", func() bool {
			return slices.ContainsFunc(log.of("fleet_account"), func(line map[string]any) bool { return line["waiting_others"] == 8.0 })
		})
		assert.Equal(t, len(c.shareViews()), 0)
		assert.Equal(t, len(c.attained()), 0)
		assert.Equal(t, len(log.of("shares")), 0)
	})
}

// TestNewTermStartsLevel guards against accounts of an earlier term that count in a later one, and
// against a gauge that a process still has when it no longer leads.
func TestNewTermStartsLevel(t *testing.T) {
	c := &testCluster{t: t, sched: New(Settings{Policies: Policies{ShareFairly: true}}, newReplica(t, selfMember), nil, zerolog.Nop(), noPeers{})}
	c.sched.startTerm(1)
	c.sched.fleet.shares.Observe(1, []fairshare.Demand{{Group: fairshare.GroupOf("q", "north"), Waiting: 1, Cores: 1}})
	c.sched.fleet.shares.Observe(1_001, nil)
	assert.DeepEqual(t, c.attained(), map[string]float64{"north": 1})
	c.sched.endTerm()
	assert.Equal(t, len(c.attained()), 0)
	c.sched.startTerm(2)
	assert.Equal(t, len(c.sched.shares()), 0)
}
