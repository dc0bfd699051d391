package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// linesPerSecond is the most lines of one event that are written in a second. A
	// leader of 240 VMs may start 1,100 tasks in a second; with a limit of 500 lines a
	// third of a day's decisions are missing from the log.
	linesPerSecond = 2_000
	// limitNotice is the event that reports how many lines of another event were
	// suppressed.
	limitNotice = "log_lines_limited"
)

// limiter is a zerolog hook that limits the rate of lines of each event.
type limiter struct {
	now   func() time.Time
	plain zerolog.Logger // without the hook; writes the notices

	mu     sync.Mutex
	events map[string]*tally
}

// tally counts the lines of one event in a window of one second.
type tally struct {
	until   time.Time // end of the window
	passed  int       // lines written
	limited int       // lines suppressed
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

// count counts a line of an event and reports whether it is written. If the line starts
// a new window, limited is the number of lines suppressed in the previous one.
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
