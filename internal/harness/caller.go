package harness

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/problem"
	"rudderfork.example/rudderfork/standin/upstream"
)

// Caller sends requests to one entry or upstream. It is safe for concurrent use.
type Caller struct {
	base  string
	hc    *http.Client
	ready atomic.Bool // result of the last readiness check of the entry; see pollReadiness
}

// Caller returns a caller of the entry with the given name.
func (c *Cluster) Caller(entry string) *Caller {
	tr := &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}
	cl := &Caller{base: "http://" + c.Link("caller", entry).Addr() + "/svc/" + c.opt.Service, hc: &http.Client{Transport: tr}}
	cl.ready.Store(true)
	return cl
}

// Direct returns a caller that sends to an upstream directly, without entry and agent.
func (c *Cluster) Direct(upstream string) *Caller {
	return &Caller{base: "http://" + c.procs[upstream].Listen(), hc: &http.Client{}}
}

// DirectEntry returns a caller of an entry without fault-injecting proxies.
func (c *Cluster) DirectEntry(entry string) *Caller {
	return &Caller{base: "http://" + c.procs[entry].Listen() + "/svc/" + c.opt.Service, hc: &http.Client{}}
}

// pollReadiness checks the readiness of one entry, as the platform's load balancer does,
// until stop closes.
func (c *Cluster) pollReadiness(cl *Caller, entry string, stop <-chan struct{}) {
	for {
		cl.ready.Store(getOK(context.Background(), "http://"+c.procs[entry].Admin()+"/ready") == nil)
		select {
		case <-stop:
			return
		case <-time.After(readinessInterval):
		}
	}
}

// readinessInterval is the time between two readiness checks of an entry.
const readinessInterval = 50 * time.Millisecond

// Answer is the response that a caller got, or the lack of one.
type Answer struct {
	Status  int
	Body    []byte
	Header  http.Header
	Problem *rudderfork.Problem // nil for an upstream's response
	Err     error               // no response came, or it was incomplete or malformed
}

// Ran returns whether the request ran, as far as the answer says so.
func (a Answer) Ran() rudderfork.Ran {
	switch {
	case a.Err != nil:
		return rudderfork.RanUnknown
	case a.Problem != nil:
		return a.Problem.Ran
	}
	return rudderfork.RanYes
}

// Do sends one request and reads the complete response.
func (cl *Caller) Do(ctx context.Context, method, path string, header map[string]string, body io.Reader) Answer {
	req, err := http.NewRequestWithContext(ctx, method, cl.base+path, body)
	if err != nil {
		return Answer{Err: err}
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	// net/http retries a request on its own if this header has its canonical spelling.
	if v := req.Header.Get("Idempotency-Key"); v != "" {
		req.Header.Del("Idempotency-Key")
		req.Header["idempotency-key"] = []string{v}
	}
	resp, err := cl.hc.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := Answer{Status: resp.StatusCode, Body: data, Header: resp.Header, Err: err}
	if err == nil && resp.Header.Get(problem.Header) != "" {
		a.Problem = &rudderfork.Problem{}
		a.Err = json.Unmarshal(data, a.Problem)
	}
	return a
}

// HoldOnce sends one seat hold and returns its answer.
func (cl *Caller) HoldOnce(ctx context.Context, seat, key, tag string) Answer {
	h := map[string]string{"Rudderfork-Team": "heritage"}
	if key != "" {
		h["Idempotency-Key"] = key
	}
	return cl.Do(ctx, http.MethodPost, "/hold?seat="+seat+"&tag="+tag, h, nil)
}

// Hold sends a seat hold, checks the response and returns the request's ID.
func (cl *Caller) Hold(ctx context.Context, seat, key, tag string) (id string, err error) {
	a := cl.HoldOnce(ctx, seat, key, tag)
	if a.Err != nil {
		return "", a.Err
	}
	if a.Problem != nil {
		return "", a.Problem
	}
	return a.Header.Get("Rudderfork-Request"), checkHold(a, seat, tag)
}

// checkHold checks that a is the complete response to the hold of seat with tag.
func checkHold(a Answer, seat, tag string) error {
	var h upstream.Hold
	if err := json.Unmarshal(a.Body, &h); err != nil {
		return err
	}
	if h.Seat != seat || h.Tag != tag {
		return fmt.Errorf("requested seat %s with tag %s, got the response for %s with %s", seat, tag, h.Seat, h.Tag)
	}
	return nil
}

// checkAnswer checks that a is the complete response to request id: to a hold if big is
// 0, else to a request for big bytes.
func checkAnswer(a Answer, id string, big int) error {
	if big == 0 {
		return checkHold(a, id, id)
	}
	line := id + "\n"
	if string(a.Body) != strings.Repeat(line, big/len(line)) {
		return fmt.Errorf("the long response to %s is wrong: %d bytes", id, len(a.Body))
	}
	return nil
}

// Feed reads a feed of count events, one every ms milliseconds, and checks that it is
// complete. opened, if not nil, receives the name of the VM that sends the feed.
func (cl *Caller) Feed(ctx context.Context, tag string, count, ms int, opened chan<- string) error {
	url := fmt.Sprintf("%s/feed?tag=%s&count=%d&ms=%d", cl.base, tag, count, ms)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Accept", "text/event-stream")
	resp, err := cl.hc.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the feed answered %s", resp.Status)
	}
	if opened != nil {
		opened <- resp.Header.Get("Rudderfork-Upstream")
	}
	sc := bufio.NewScanner(resp.Body)
	next := 0
	for sc.Scan() {
		line := sc.Text()
		switch {
		case line == "":
		case line == "data: end":
			if next != count {
				return fmt.Errorf("received %d of %d lines", next, count)
			}
			return nil
		case line != fmt.Sprintf("data: %s %d", tag, next):
			return fmt.Errorf("line %d is %q", next, line)
		default:
			next++
		}
	}
	return errors.Join(fmt.Errorf("the feed ended after %d of %d lines", next, count), sc.Err())
}

// Load defines the requests that RunLoad sends.
type Load struct {
	Callers, PerCaller int
	Keyed              bool            // send an idempotency key with each hold
	Prefix             string          // of the requests' IDs
	Pause              time.Duration   // time between two requests of a caller
	MaxRetries         int             // maximum number of retries of a keyed hold that isn't known to have run
	Stop               <-chan struct{} // callers stop when it closes
	Balanced           bool            // use only entries that report readiness, as a load balancer does
	Query              string          // added to each hold, as in "&ms=20"
	Timeout            time.Duration   // of each request; 0 means none
	Big                int             // request a response of this many bytes instead of a hold; 0 means holds
}

// stopped reports whether Stop is closed.
func (l Load) stopped() bool {
	select {
	case <-l.Stop:
		return true
	default:
		return false
	}
}

// Calls summarizes the answers that the callers got. Answered counts the responses of
// upstreams, Refused the requests that did not run, and Unknown the rest.
type Calls struct {
	Answered, Refused, Unknown int
	Mismatched                 []string        // errors of responses that do not match their request
	FirstProblem               string          // text of the first problem or error
	Latencies                  []time.Duration // of the last attempt of each answered request
	NotRunIDs                  []string        // requests whose last answer says that they did not run
	AnsweredIDs                []string        // requests counted in Answered
}

// Quantile returns the q-quantile of Latencies, or 0 if there are none.
func (c *Calls) Quantile(q float64) time.Duration {
	if len(c.Latencies) == 0 {
		return 0
	}
	slices.Sort(c.Latencies)
	return c.Latencies[min(len(c.Latencies)-1, int(q*float64(len(c.Latencies))))].Round(10 * time.Microsecond)
}

// RunLoad sends the requests of a load from concurrent callers, through all entries in
// turn, and returns a summary of the answers.
func (c *Cluster) RunLoad(ctx context.Context, l Load) *Calls {
	out := &Calls{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	cl := make([]*Caller, c.opt.Entries)
	for e := range cl {
		cl[e] = c.Caller(procName("e", e))
		if l.Balanced {
			go c.pollReadiness(cl[e], procName("e", e), l.Stop)
		}
	}
	for i := range l.Callers {
		wg.Go(func() {
			for k := range l.PerCaller {
				if l.stopped() {
					return
				}
				id := fmt.Sprintf("%s-%d-%d", l.Prefix, i, k)
				a, took := sendRetrying(ctx, cl, i+k, id, l)
				mu.Lock()
				out.add(a, id, took, l.Big)
				mu.Unlock()
				if l.Pause > 0 {
					time.Sleep(l.Pause)
				}
			}
		})
	}
	wg.Wait()
	return out
}

// pickEntry returns the n-th caller in turn. If balanced, it skips callers whose entry is
// not ready, unless none is.
func pickEntry(cl []*Caller, n int, balanced bool) *Caller {
	for i := range cl {
		if c := cl[(n+i)%len(cl)]; !balanced || c.ready.Load() {
			return c
		}
	}
	return cl[n%len(cl)]
}

// sendOnce sends one request of a load.
func sendOnce(ctx context.Context, cl *Caller, id, key string, l Load) Answer {
	if l.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, l.Timeout)
		defer cancel()
	}
	if l.Big > 0 {
		return cl.Do(ctx, http.MethodGet, fmt.Sprintf("/big?tag=%s&n=%d", id, l.Big), nil, nil)
	}
	return cl.HoldOnce(ctx, id, key, id+l.Query)
}

// sendRetrying sends one request of a load. It retries a keyed one through other entries
// until it ran. It returns the last answer and the duration of that attempt, or 0 if the
// retries are used up.
func sendRetrying(ctx context.Context, cl []*Caller, first int, id string, l Load) (Answer, time.Duration) {
	key := ""
	if l.Keyed {
		key = id
	}
	var a Answer
	for attempt := range l.MaxRetries + 1 {
		start := time.Now()
		a = sendOnce(ctx, pickEntry(cl, first+attempt, l.Balanced), id, key, l)
		took := time.Since(start)
		if a.Ran() == rudderfork.RanYes || ctx.Err() != nil {
			return a, took
		}
		if key == "" {
			return a, took // a request without a key must not be repeated
		}
		if attempt < l.MaxRetries {
			time.Sleep(200 * time.Millisecond)
		}
	}
	return a, 0
}

func (c *Calls) add(a Answer, id string, took time.Duration, big int) {
	switch {
	case a.Err != nil:
		c.Unknown++
		c.recordProblem(a.Err.Error())
	case a.Problem != nil:
		c.recordProblem(a.Problem.Error())
		if a.Problem.Ran == rudderfork.RanNo {
			c.Refused++
			c.NotRunIDs = append(c.NotRunIDs, id)
		} else {
			c.Unknown++
		}
	default:
		c.Answered++
		c.Latencies = append(c.Latencies, took)
		c.AnsweredIDs = append(c.AnsweredIDs, id)
		if err := checkAnswer(a, id, big); err != nil {
			c.Mismatched = append(c.Mismatched, err.Error())
		}
	}
}

func (c *Calls) recordProblem(s string) {
	if c.FirstProblem == "" {
		c.FirstProblem = strings.TrimSpace(s)
	}
}
