package steady

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClock checks that a clock advances by the time since boot alone, so that it follows
// no step of the system's wall clock and counts suspensions.
func TestClock(t *testing.T) {
	boot := 7 * time.Hour
	c := newClock(time.Unix(1000, 0), func() time.Duration { return boot })
	assert.Equal(t, c.Now(), time.Unix(1000, 0))
	boot += 5 * time.Second // any part of it may have been a suspension
	assert.Equal(t, c.Now(), time.Unix(1005, 0))
}

// TestNow checks that the process's clock and the clock since boot do not go backwards.
func TestNow(t *testing.T) {
	before := Now()
	assert.Assert(t, !before.After(Now()))
	first := sinceBoot()
	assert.Assert(t, first > 0)
	assert.Assert(t, sinceBoot() >= first)
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		_ = Now()
	}
}

func BenchmarkMonotonicClock(b *testing.B) {
	for b.Loop() {
		_ = time.Since(processStart)
	}
}
