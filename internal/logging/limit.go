package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// linesPerSecond bounds the lines of one event. A leader of 240 VMs was seen to
	// start 1,100 tasks in a second, more than four times the rate of the design's
	// size; with 500 lines a third of a day's decisions left no trace.
	linesPerSecond = 2_000
	// limitNotice names the line that says how many of an event were left out.
	limitNotice = "log_lines_limited"
)

// limiter is a zerolog hook that lets a bounded number of lines of each event
// through in each second.
type limiter struct {
	now   func() time.Time
	plain zerolog.Logger // without the hook, for the notices

	mu     sync.Mutex
	events map[string]*tally
}

// tally counts the lines of one event in the second that ends at until.
type tally struct {
	until   time.Time
	passed  int
	limited int
}

func newLimiter(plain zerolog.Logger, now func() time.Time) *limiter {
	return &limiter{now: now, plain: plain, events: map[string]*tally{}}
}

// Run implements zerolog.Hook.
func (l *limiter) Run(e *zerolog.Event, _ zerolog.Level, event string) {
	passes, limited := l.count(event)
	if limited > 0 {
		l.plain.Warn().Str("of", event).Int("lines", limited).Msg(limitNotice)
	}
	if !passes {
		e.Discard()
	}
}

// count reports whether a line may pass, and how many were left out in the
// second before, if it is the first of another.
func (l *limiter) count(event string) (passes bool, limited int) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.events[event]
	if t == nil {
		t = &tally{}
		l.events[event] = t
	}
	if !now.Before(t.until) {
		limited = t.limited
		*t = tally{until: now.Add(time.Second)}
	}
	if t.passed >= linesPerSecond {
		t.limited++
		return false, limited
	}
	t.passed++
	return true, limited
}
