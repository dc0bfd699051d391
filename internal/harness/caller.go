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

// Caller sends requests to one entry, as a kiosk would.
type Caller struct {
	base  string
	hc    *http.Client
	ready atomic.Bool // as the platform's balancer last saw its entry
}

// Caller returns a caller of the entry with the given name.
func (c *Cluster) Caller(entry string) *Caller {
	tr := &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}
	cl := &Caller{base: "http://" + c.Link("caller", entry).Addr() + "/svc/" + c.opt.Service, hc: &http.Client{Transport: tr}}
	cl.ready.Store(true)
	return cl
}

// Direct returns a caller of an upstream without the path before it.
func (c *Cluster) Direct(upstream string) *Caller {
	return &Caller{base: "http://" + c.procs[upstream].Listen(), hc: &http.Client{}}
}

// DirectEntry returns a caller of an entry without a proxy between.
func (c *Cluster) DirectEntry(entry string) *Caller {
	return &Caller{base: "http://" + c.procs[entry].Listen() + "/svc/" + c.opt.Service, hc: &http.Client{}}
}

// balance plays the platform's balancer for one entry until stop closes.
func (c *Cluster) balance(cl *Caller, entry string, stop <-chan struct{}) {
	for {
		cl.ready.Store(getOK(context.Background(), "http://"+c.procs[entry].Admin()+"/ready") == nil)
		select {
		case <-stop:
			return
		case <-time.After(balancePause):
		}
	}
}

// balancePause is how often the balancer looks at an entry.
const balancePause = 50 * time.Millisecond

// Answer is what a caller got.
type Answer struct {
	Status  int
	Body    []byte
	Header  http.Header
	Problem *rudderfork.Problem // nil for an upstream's answer
	Err     error               // the answer did not come, or broke off
}

// Ran is what the answer says about whether the request ran.
func (a Answer) Ran() rudderfork.Ran {
	switch {
	case a.Err != nil:
		return rudderfork.RanUnknown
	case a.Problem != nil:
		return a.Problem.Ran
	}
	return rudderfork.RanYes
}

// Do sends one request and reads the whole answer.
func (cl *Caller) Do(ctx context.Context, method, path string, header map[string]string, body io.Reader) Answer {
	req, err := http.NewRequestWithContext(ctx, method, cl.base+path, body)
	if err != nil {
		return Answer{Err: err}
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	// The header is spelt so that the client does not resend by itself.
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

// HoldOnce sends one hold of a seat and reports its answer.
func (cl *Caller) HoldOnce(ctx context.Context, seat, key, tag string) Answer {
	h := map[string]string{"Rudderfork-Team": "heritage"}
	if key != "" {
		h["Idempotency-Key"] = key
	}
	return cl.Do(ctx, http.MethodPost, "/hold?seat="+seat+"&tag="+tag, h, nil)
}

// Hold holds a seat and returns the request's id.
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

// checkHold checks that a is the whole answer to its own request.
func checkHold(a Answer, seat, tag string) error {
	var h upstream.Hold
	if err := json.Unmarshal(a.Body, &h); err != nil {
		return err
	}
	if h.Seat != seat || h.Tag != tag {
		return fmt.Errorf("asked for seat %s with tag %s, got the answer for %s with %s", seat, tag, h.Seat, h.Tag)
	}
	return nil
}

// checkAnswer checks that a is the whole answer to request id.
func checkAnswer(a Answer, id string, big int) error {
	if big == 0 {
		return checkHold(a, id, id)
	}
	line := id + "\n"
	if string(a.Body) != strings.Repeat(line, big/len(line)) {
		return fmt.Errorf("the long answer to %s is wrong: %d bytes", id, len(a.Body))
	}
	return nil
}

// Feed reads a feed of count lines and checks that it comes whole. opened, if not
// nil, gets the VM that sends it.
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
				return fmt.Errorf("%d of %d lines came", next, count)
			}
			return nil
		case line != fmt.Sprintf("data: %s %d", tag, next):
			return fmt.Errorf("line %d is %q", next, line)
		default:
			next++
		}
	}
	return errors.Join(fmt.Errorf("it broke off after %d of %d lines", next, count), sc.Err())
}

// Load says what Hammer sends.
type Load struct {
	Callers, Each int
	Keyed         bool
	Prefix        string
	Pause         time.Duration   // of a caller between two requests
	Resend        int             // how often a keyed hold without an answer is sent again
	Stop          <-chan struct{} // callers end when it closes
	Balanced      bool            // use only entries that say they are ready, as a balancer does
	Query         string          // added to each hold, as in "&ms=20"
	Timeout       time.Duration   // of a caller's patience; none by default
	Big           int             // ask for a long answer of so many bytes instead of a hold
}

// stopped reports whether the callers are to end.
func (l Load) stopped() bool {
	select {
	case <-l.Stop:
		return true
	default:
		return false
	}
}

// Calls sums up what callers got.
type Calls struct {
	Whole, Refused, Unknown int
	Wrong                   []string // answers that were not to their own request
	Problem                 string   // the first one
	Took                    []time.Duration
	NotRun                  []string // keys of which the last answer said that they did not run
	Ok                      []string // keys that were answered
}

// Quantile returns the q-quantile of the time of whole answers.
func (c *Calls) Quantile(q float64) time.Duration {
	if len(c.Took) == 0 {
		return 0
	}
	slices.Sort(c.Took)
	return c.Took[min(len(c.Took)-1, int(q*float64(len(c.Took))))].Round(10 * time.Microsecond)
}

// Hammer sends holds from several callers at once, in turn through all entries.
func (c *Cluster) Hammer(ctx context.Context, l Load) *Calls {
	out := &Calls{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	cl := make([]*Caller, c.opt.Entries)
	for e := range cl {
		cl[e] = c.Caller(name("e", e))
		if l.Balanced {
			go c.balance(cl[e], name("e", e), l.Stop)
		}
	}
	for i := range l.Callers {
		wg.Go(func() {
			for k := range l.Each {
				if l.stopped() {
					return
				}
				id := fmt.Sprintf("%s-%d-%d", l.Prefix, i, k)
				a, took := hammerOnce(ctx, cl, i+k, id, l)
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

// pickEntry takes the entries in turn, passing over those that are not ready if
// a balancer is played.
func pickEntry(cl []*Caller, n int, balanced bool) *Caller {
	for i := range cl {
		if c := cl[(n+i)%len(cl)]; !balanced || c.ready.Load() {
			return c
		}
	}
	return cl[n%len(cl)]
}

// once sends one request of a load.
func once(ctx context.Context, cl *Caller, id, key string, l Load) Answer {
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

// hammerOnce sends one hold, and again through other entries while its fate is
// unknown.
func hammerOnce(ctx context.Context, cl []*Caller, first int, id string, l Load) (Answer, time.Duration) {
	key := ""
	if l.Keyed {
		key = id
	}
	var a Answer
	for try := range l.Resend + 1 {
		start := time.Now()
		a = once(ctx, pickEntry(cl, first+try, l.Balanced), id, key, l)
		took := time.Since(start)
		if a.Ran() == rudderfork.RanYes || ctx.Err() != nil {
			return a, took
		}
		if key == "" {
			return a, took // without a key it must not be sent again
		}
		if try < l.Resend {
			time.Sleep(200 * time.Millisecond)
		}
	}
	return a, 0
}

func (c *Calls) add(a Answer, id string, took time.Duration, big int) {
	switch {
	case a.Err != nil:
		c.Unknown++
		c.note(a.Err.Error())
	case a.Problem != nil:
		c.note(a.Problem.Error())
		if a.Problem.Ran == rudderfork.RanNo {
			c.Refused++
			c.NotRun = append(c.NotRun, id)
		} else {
			c.Unknown++
		}
	default:
		c.Whole++
		c.Took = append(c.Took, took)
		c.Ok = append(c.Ok, id)
		if err := checkAnswer(a, id, big); err != nil {
			c.Wrong = append(c.Wrong, err.Error())
		}
	}
}

func (c *Calls) note(s string) {
	if c.Problem == "" {
		c.Problem = strings.TrimSpace(s)
	}
}
