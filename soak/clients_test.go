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
	shortQueue, lastQueue = "/short/", "/lasts/"

	host       = "desk.example"
	lastingCPU = 500
	shortCPU   = 1000
	lastTasks  = 14
	callLimit  = time.Second // after which a client tries elsewhere
	tries      = 20
	countEvery = 300 * time.Millisecond
	stateEvery = 50 * time.Millisecond
	burstEvery = 15 * time.Second
	lastBurst  = darkBefore + 500*time.Millisecond // before the traffic ends
	meanWork   = 4.5                               // core-seconds a job
	baseLoad   = 0.3                               // of the room
	burstWork  = 5.0                               // seconds of all room
)

// clients hand in jobs, ask for states and for counts.
type clients struct {
	site    *site
	watch   *watch
	rnd     *rand.Rand
	seed    uint64
	n       int
	taken   atomic.Int64
	refused atomic.Int64
	wait    sync.WaitGroup
}

func (c *clients) call(ctx context.Context, entry int, method, path string, body any) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	status, answer, err := standin.Call(ctx, method, "http://"+c.site.FrontAddr(entry)+path, host, body)
	if err != nil {
		return 0, nil
	}
	return status, answer
}

// submit hands in a job as the pages say: again elsewhere while there is no clear answer.
func (c *clients) submit(ctx context.Context, j *job, body any, first int) {
	c.watch.add(j)
	wait := 100 * time.Millisecond
	for i := range tries {
		switch status, _ := c.call(ctx, (first+i)%entries, http.MethodPost, j.queue+j.id, body); {
		case status/100 == 2:
			c.taken.Add(1)
			c.watch.accept(j)
			return
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusNotFound:
			c.refused.Add(1)
			if !j.lasting {
				return
			}
		}
		time.Sleep(wait)
		wait = min(2*wait, time.Second)
	}
}

// begin hands in a job drawn from the seed.
func (c *clients) begin(ctx context.Context, lasting bool) {
	c.n++
	j := &job{id: fmt.Sprintf("%08x%08x", c.seed, c.n), queue: shortQueue, cpu: shortCPU}
	var body any
	if lasting {
		j.queue, j.lasting, j.cpu, j.tasks = lastQueue, true, lastingCPU, lastTasks
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
	first := c.rnd.IntN(entries)
	c.wait.Go(func() { c.submit(ctx, j, body, first) })
}

// traffic hands in jobs for a time: a third of the room in the mean, and bursts.
func (c *clients) traffic(ctx context.Context, d time.Duration, machines int) {
	for range max(1, machines/6) {
		c.begin(ctx, true)
	}
	room := float64(machines*cpuRoom)/1000 - float64(max(1, machines/6)*lastTasks*lastingCPU)/1000
	end, burst := time.Now().Add(d), time.Now().Add((d-lastBurst)%burstEvery)
	for now := time.Now(); now.Before(end); now = time.Now() {
		c.begin(ctx, false)
		if now.After(burst) && burst.Before(end.Add(-lastBurst+time.Second)) {
			burst = now.Add(burstEvery)
			for range int(burstWork * room / meanWork) {
				c.begin(ctx, false)
			}
		}
		gap := c.rnd.ExpFloat64() * meanWork / room / baseLoad
		time.Sleep(time.Duration(gap * float64(time.Second)))
	}
}

// ask asks each entry for counts and states until ctx ends.
func (c *clients) ask(ctx context.Context) {
	for e := range entries {
		name := fmt.Sprintf("edge-%d", e+1)
		for _, q := range []string{shortQueue, lastQueue} {
			c.wait.Go(func() {
				c.every(ctx, countEvery, func() { c.count(ctx, e, name, q) })
			})
		}
		rnd := rand.New(rand.NewPCG(c.seed, uint64(100+e)))
		c.wait.Go(func() {
			c.every(ctx, stateEvery, func() {
				js := c.watch.accepted(true)
				if len(js) > 0 {
					c.state(ctx, e, js[rnd.IntN(len(js))])
				}
			})
		})
	}
	c.wait.Go(func() {
		c.every(ctx, 25*time.Millisecond, func() {
			looked := time.Now()
			for _, e := range c.site.Execs {
				e.Running()
			}
			c.watch.look(looked)
		})
	})
}

func (*clients) every(ctx context.Context, d time.Duration, do func()) {
	for ctx.Err() == nil {
		do()
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
}

func (c *clients) count(ctx context.Context, entry int, name, queue string) {
	asked := time.Now()
	status, answer := c.call(ctx, entry, http.MethodGet, queue, nil)
	var b struct {
		Waiting *int `json:"waiting"`
	}
	if status == http.StatusOK && json.Unmarshal(answer, &b) == nil && b.Waiting != nil {
		c.watch.counted(name, queue, asked, *b.Waiting)
	}
}

func (c *clients) state(ctx context.Context, entry int, j *job) (status int) {
	asked := time.Now()
	status, answer := c.call(ctx, entry, http.MethodGet, j.queue+j.id, nil)
	var b struct {
		State string `json:"state"`
	}
	if status != 0 {
		_ = json.Unmarshal(answer, &b) // a refusal has no state
		c.watch.shown(fmt.Sprintf("edge-%d", entry+1), j, asked, status, b.State)
	}
	return status
}
