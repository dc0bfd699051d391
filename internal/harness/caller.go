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
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/problem"
	"rudderfork.example/rudderfork/standin/upstream"
)

// Caller sends requests to one entry, as a kiosk would.
type Caller struct {
	base string
	hc   *http.Client
}

// Caller returns a caller of the entry with the given name.
func (c *Cluster) Caller(entry string) *Caller {
	tr := &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}
	return &Caller{base: "http://" + c.procs[entry].Listen() + "/svc/" + c.opt.Service, hc: &http.Client{Transport: tr}}
}

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

// Feed reads a feed of count lines and checks that it comes whole.
func (cl *Caller) Feed(ctx context.Context, tag string, count, ms int) error {
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
	Pause         time.Duration // of a caller between two requests
	Path          string        // of a request; a hold by default
	Resend        int           // how often a keyed hold without an answer is sent again
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
	for i := range l.Callers {
		cl := make([]*Caller, c.opt.Entries)
		for e := range cl {
			cl[e] = c.Caller(name("e", e))
		}
		wg.Go(func() {
			for k := range l.Each {
				id := fmt.Sprintf("%s-%d-%d", l.Prefix, i, k)
				a, took := hammerOnce(ctx, cl, i+k, id, l)
				mu.Lock()
				out.add(a, id, took)
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
		a = cl[(first+try)%len(cl)].HoldOnce(ctx, id, key, id)
		took := time.Since(start)
		if a.Ran() == rudderfork.RanYes || ctx.Err() != nil {
			return a, took
		}
		if try < l.Resend {
			time.Sleep(200 * time.Millisecond)
		}
	}
	return a, 0
}

func (c *Calls) add(a Answer, id string, took time.Duration) {
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
		if err := checkHold(a, id, id); err != nil {
			c.Wrong = append(c.Wrong, err.Error())
		}
	}
}

func (c *Calls) note(s string) {
	if c.Problem == "" {
		c.Problem = strings.TrimSpace(s)
	}
}
