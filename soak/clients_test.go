//go:build proof

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rudderfork.example/rudderfork/platform/standin"
)

const (
	shortQueue, lastingQueue = "/short/", "/lasts/"

	queueHost          = "desk.example"
	lastingCPU         = 500
	shortCPU           = 1000
	lastingTasks       = 14
	callTimeout        = time.Second // after which a client tries elsewhere
	submitAttempts     = 20
	countInterval      = 300 * time.Millisecond
	stateInterval      = 50 * time.Millisecond
	burstInterval      = 15 * time.Second
	lastBurstBeforeEnd = powerLossBeforeEnd + 500*time.Millisecond // before the traffic ends
	meanJobWork        = 4.5                                       // core-seconds a job
	baseUtilization    = 0.3                                       // of the room
	burstWork          = 5.0                                       // seconds of all room
)

// clients hand in jobs, ask for states and for counts.
type clients struct {
	site     *site
	checker  *checker
	rnd      *rand.Rand
	seed     uint64
	created  int
	accepted atomic.Int64
	rejected atomic.Int64
	wg       sync.WaitGroup
}

func (c *clients) call(ctx context.Context, entry int, method, path string, body any) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, answer, err := standin.Call(ctx, method, "http://"+c.site.FrontAddr(entry)+path, queueHost, body)
	if err != nil {
		return 0, nil
	}
	return status, answer
}

// submit hands in a job as the pages say: again elsewhere while there is no clear answer.
func (c *clients) submit(ctx context.Context, j *job, body any, firstEntry int) {
	c.checker.addJob(j)
	backoff := 100 * time.Millisecond
	for i := range submitAttempts {
		switch status, _ := c.call(ctx, (firstEntry+i)%entryCount, http.MethodPost, j.queue+j.id, body); {
		case status/100 == 2:
			c.accepted.Add(1)
			c.checker.markAccepted(j)
			return
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusNotFound:
			c.rejected.Add(1)
			if !j.lasting {
				return
			}
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
}

// submitRandom hands in a job drawn from the seed.
func (c *clients) submitRandom(ctx context.Context, lasting bool) {
	c.created++
	j := &job{id: fmt.Sprintf("%08x%08x", c.seed, c.created), queue: shortQueue, cpu: shortCPU}
	var body any
	if lasting {
		j.queue, j.lasting, j.cpu, j.tasks = lastingQueue, true, lastingCPU, lastingTasks
		body = standin.Job(fmt.Sprintf("lasts cpu=%d", j.cpu), standin.JobStep{Count: j.tasks, CPUMilli: j.cpu, Lasting: true})
	} else {
		ms := 300 + c.rnd.Int64N(1500)
		steps := []standin.JobStep{{Count: 1 + c.rnd.IntN(5), CPUMilli: j.cpu, ExpectedMS: ms}}
		if c.rnd.IntN(3) == 0 {
			steps = append(steps, standin.JobStep{Count: 1 + c.rnd.IntN(2), CPUMilli: j.cpu, ExpectedMS: ms, After: []int{0}})
		}
		for _, s := range steps {
			j.tasks += s.Count
		}
		body = standin.Job(fmt.Sprintf("work=%dms cpu=%d", ms, j.cpu), steps...)
	}
	firstEntry := c.rnd.IntN(entryCount)
	c.wg.Go(func() { c.submit(ctx, j, body, firstEntry) })
}

// runTraffic hands in jobs for a time: a third of the room in the mean, and bursts.
func (c *clients) runTraffic(ctx context.Context, d time.Duration, machines int) {
	for range max(1, machines/6) {
		c.submitRandom(ctx, true)
	}
	capacity := float64(machines*machineCPU)/1000 - float64(max(1, machines/6)*lastingTasks*lastingCPU)/1000
	end, burst := time.Now().Add(d), time.Now().Add((d-lastBurstBeforeEnd)%burstInterval)
	for now := time.Now(); now.Before(end); now = time.Now() {
		c.submitRandom(ctx, false)
		if now.After(burst) && burst.Before(end.Add(-lastBurstBeforeEnd+time.Second)) {
			burst = now.Add(burstInterval)
			for range int(burstWork * capacity / meanJobWork) {
				c.submitRandom(ctx, false)
			}
		}
		gap := c.rnd.ExpFloat64() * meanJobWork / capacity / baseUtilization
		time.Sleep(time.Duration(gap * float64(time.Second)))
	}
}

// startQueries asks each entry for counts and states until ctx ends.
func (c *clients) startQueries(ctx context.Context) {
	for e := range entryCount {
		name := fmt.Sprintf("edge-%d", e+1)
		for _, q := range []string{shortQueue, lastingQueue} {
			c.wg.Go(func() {
				c.repeat(ctx, countInterval, func() { c.queryCount(ctx, e, name, q) })
			})
		}
		rnd := rand.New(rand.NewPCG(c.seed, uint64(100+e)))
		c.wg.Go(func() {
			c.repeat(ctx, stateInterval, func() {
				js := c.checker.acceptedJobs(true)
				if len(js) > 0 {
					c.queryState(ctx, e, js[rnd.IntN(len(js))])
				}
			})
		})
	}
	c.wg.Go(func() {
		c.repeat(ctx, 25*time.Millisecond, func() {
			polledAt := time.Now()
			for _, e := range c.site.Execs {
				e.Running()
			}
			c.checker.checkRuns(polledAt)
		})
	})
}

func (*clients) repeat(ctx context.Context, d time.Duration, fn func()) {
	for ctx.Err() == nil {
		fn()
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
}

func (c *clients) queryCount(ctx context.Context, entry int, name, queue string) {
	askedAt := time.Now()
	status, answer := c.call(ctx, entry, http.MethodGet, queue, nil)
	var b struct {
		Waiting *int `json:"waiting"`
	}
	if status == http.StatusOK && json.Unmarshal(answer, &b) == nil && b.Waiting != nil {
		c.checker.checkCount(name, queue, askedAt, *b.Waiting)
	}
}

func (c *clients) queryState(ctx context.Context, entry int, j *job) (status int) {
	askedAt := time.Now()
	status, answer := c.call(ctx, entry, http.MethodGet, j.queue+j.id, nil)
	var b struct {
		State string `json:"state"`
	}
	if status != 0 {
		_ = json.Unmarshal(answer, &b) // a refusal has no state
		c.checker.checkState(fmt.Sprintf("edge-%d", entry+1), j, askedAt, status, b.State)
	}
	return status
}
