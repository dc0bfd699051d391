package scheduler

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/timeline"
	"rudderfork.example/rudderfork/wire"
)

func (c *testCluster) evacuate(d rudderfork.Domain, end bool, want queue.Code) {
	c.t.Helper()
	resp := c.send(wire.QueueRequest{Evacuate: &queue.Evacuate{Domain: d, End: end}})
	assert.Equal(c.t, resp.Code, want, "%+v", resp)
}

// TestEvacuation checks what an operator's evacuation of a failure domain does to running tasks, new
// tasks and the operators' view.
func TestEvacuation(t *testing.T) {
	c := newTestCluster(t, nil)
	first, second := c.addVM(executor.Config{}), c.addVM(executor.Config{})
	c.putDocument(nil)
	c.waitUntil("both VMs are registered", func() bool { return c.vmCount() == 2 })
	lasting := smallStep
	lasting.Count, lasting.Lasting, lasting.MaxPerVM = 2, true, 1
	c.submit("feed", "", lasting)
	c.waitUntil("the lasting job runs on both", func() bool { return len(first.Running()) == 1 && len(second.Running()) == 1 })

	t.Run("an unknown failure domain is refused", func(*testing.T) {
		c.evacuate("nowhere", false, queue.NoDomain)
		c.evacuate("nowhere", true, queue.NoDomain)
	})
	t.Run("new tasks start elsewhere, and running ones stay", func(t *testing.T) {
		c.evacuate(domainOf("vm1"), false, queue.OK)
		c.evacuate(domainOf("vm1"), false, queue.OK)
		more := smallStep
		more.Count = 3
		c.submit("more", "", more)
		c.waitUntil("the new job runs", func() bool { return len(second.Running()) == 4 })
		assert.Equal(t, len(first.Running()), 1)
	})
	t.Run("operators see the evacuation", func(t *testing.T) {
		views := c.evacuations()
		assert.Equal(t, len(views), 1)
		assert.Equal(t, views[0].Domain, domainOf("vm1"))
		assert.Equal(t, views[0].VMs, 1)
		assert.Equal(t, views[0].Runs, 1)
		assert.Assert(t, views[0].SinceMS > 0)
	})
	t.Run("tasks wait while all domains are evacuated", func(*testing.T) {
		c.evacuate(domainOf("vm2"), false, queue.OK)
		c.submit("late", "work=1ms", smallStep)
		path := wire.HostPath{Host: testHost, Path: "/q/"}
		c.waitUntil("the job waits", func() bool { return c.send(wire.QueueRequest{Status: &path}).Waiting == 1 })
		c.evacuate(domainOf("vm1"), true, queue.OK)
		c.waitForStatus("late", queue.Completed)
	})
}

// evacuations returns the evacuations from the operators' HTTP API.
func (c *testCluster) evacuations() (views []EvacuationView) {
	c.t.Helper()
	mux := http.NewServeMux()
	c.sched.Routes(mux, timeline.NewRing("c", rudderfork.Place{}, 1, time.Now))
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/queue-evacuations", nil))
	assert.Equal(c.t, w.Code, http.StatusOK, "%s", w.Body)
	assert.NilError(c.t, json.Unmarshal(w.Body.Bytes(), &views))
	return views
}

// TestStartTimeLeft checks that starts are allowed for StartWindow or the lease, whichever is shorter,
// counted from the same time.
func TestStartTimeLeft(t *testing.T) {
	for _, c := range []struct {
		name               string
		window, left, want time.Duration
	}{
		{"a fresh lease", 2 * time.Second, 5 * time.Second, 2 * time.Second},
		{"an older lease", 2 * time.Second, 4 * time.Second, time.Second},
		{"a lease older than the window", 2 * time.Second, 2 * time.Second, 0},
		{"no lease", 2 * time.Second, 0, 0},
		{"no window of its own", 0, 3 * time.Second, 3 * time.Second},
		{"a window above the lease", 9 * time.Second, 3 * time.Second, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Scheduler{cfg: Settings{Lease: 5 * time.Second, StartWindow: c.window}}
			assert.Equal(t, s.startTimeLeft(c.left), c.want)
		})
	}
}

// TestGrantReportsEvacuation checks that the answer to a VM's heartbeat says whether its failure
// domain is evacuated, also in a new session.
func TestGrantReportsEvacuation(t *testing.T) {
	c := newTestCluster(t, nil)
	c.putDocument(nil)
	client := c.connectAgent()
	assert.Assert(t, !client.heartbeat("life-1").Cordoned)
	vm := heartbeatOf("life-1").VM
	c.evacuate(vm.Domain, false, queue.OK)
	assert.Assert(t, client.heartbeat("life-1").Cordoned)
	assert.Assert(t, c.connectAgent().heartbeat("life-1").Cordoned)
	c.evacuate(vm.Domain, true, queue.OK)
	assert.Assert(t, !c.connectAgent().heartbeat("life-1").Cordoned)
}
