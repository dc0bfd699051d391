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
	// The path prefixes of the queues of short and of lasting jobs.
	shortQueue, lastingQueue = "/short/", "/lasts/"

	queueHost          = "desk.example"                            // host of both queues
	lastingCPU         = 500                                       // of a lasting task, in thousandths of a core
	shortCPU           = 1000                                      // of a short task, in thousandths of a core
	lastingTasks       = 14                                        // tasks of a lasting job
	callTimeout        = time.Second                               // then a client tries the next entry
	submitAttempts     = 20                                        // most calls that submit one job
	countInterval      = 300 * time.Millisecond                    // between two queries of a count
	stateInterval      = 50 * time.Millisecond                     // between two queries of job states
	burstInterval      = 15 * time.Second                          // between two bursts of jobs
	lastBurstBeforeEnd = powerLossBeforeEnd + 500*time.Millisecond // from the last burst to the end of the traffic
	meanJobWork        = 4.5                                       // mean work of a short job, in core-seconds
	baseUtilization    = 0.3                                       // share of the capacity for short jobs that those outside bursts take on average
	burstWork          = 5.0                                       // work of a burst, in seconds of the capacity for short jobs
)

// clients submits jobs, and queries the states of jobs and the counts of queues.
type clients struct {
	site     *site
	checker  *checker
	rnd      *rand.Rand
	seed     uint64
	created  int          // number of jobs created so far, part of the job IDs
	accepted atomic.Int64 // number of accepted jobs
	rejected atomic.Int64 // number of rejections
	wg       sync.WaitGroup
}

// call sends one request to an entry. The status is 0 if there was no answer.
func (c *clients) call(ctx context.Context, entry int, method, path string, body any) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, answer, err := standin.Call(ctx, method, "http://"+c.site.FrontAddr(entry)+path, queueHost, body)
	if err != nil {
		return 0, nil
	}
	return status, answer
}

// submit submits a job as the documentation asks of clients: it retries at the next entry
// while there is no clear answer. It also retries a rejected lasting job.
func (c *clients) submit(ctx context.Context, j *job, body any, firstEntry int) {
	c.checker.addJob(j)
	backoff, unclear := 100*time.Millisecond, false
	for i := range submitAttempts {
		switch status, _ := c.call(ctx, (firstEntry+i)%entryCount, http.MethodPost, j.queue+j.id, body); {
		case status/100 == 2:
			c.accepted.Add(1)
			c.checker.markAccepted(j)
			return
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusNotFound:
			c.rejected.Add(1)
			if !j.lasting {
				if !unclear {
					c.checker.markRefused(j)
				}
				return
			}
		default:
			unclear = true // the job may have been accepted
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
}

// submitRandom submits the next job in the background. The size of a short job is random.
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

// runTraffic submits jobs for the duration d: the lasting jobs first, then short ones that
// take about a third of the remaining capacity on average, and bursts of short ones.
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

// startQueries queries counts and states at each entry, and polls the executors, until ctx
// ends.
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

// repeat calls fn with a pause of d in between until ctx ends.
func (*clients) repeat(ctx context.Context, d time.Duration, fn func()) {
	for ctx.Err() == nil {
		fn()
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
}

// queryCount queries an entry for the number of waiting jobs of a queue, and checks it.
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

// queryState queries an entry for the state of a job, and checks it. The status is 0 if
// there was no answer.
func (c *clients) queryState(ctx context.Context, entry int, j *job) (status int) {
	askedAt := time.Now()
	status, answer := c.call(ctx, entry, http.MethodGet, j.queue+j.id, nil)
	var b struct {
		State string `json:"state"`
	}
	if status != 0 {
		_ = json.Unmarshal(answer, &b) // an error answer has no state
		c.checker.checkState(fmt.Sprintf("edge-%d", entry+1), j, askedAt, status, b.State)
	}
	return status
}
