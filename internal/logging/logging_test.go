package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// waitLimit bounds a call that should not block.
const waitLimit = 20 * time.Second

// blocked is a writer that blocks until it is released.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// checkEnds checks that f returns within waitLimit.
func checkEnds(t *testing.T, what string, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-time.After(waitLimit):
		t.Fatalf("%s blocks", what)
	}
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	w := blocked{make(chan struct{})}
	defer close(w.release)
	log, flush := NewBounded(w, "core-1", rudderfork.Place{})
	checkEnds(t, "logging", func() {
		for i := range 3 * queueLines {
			log.Info().Int("i", i).Msg("event")
		}
	})
	checkEnds(t, "flush", flush)
}

// events decodes JSON lines and counts them by event.
func events(t *testing.T, lines string) map[string]int {
	t.Helper()
	n := map[string]int{}
	d := json.NewDecoder(strings.NewReader(lines))
	for {
		var line struct {
			Event string `json:"event"`
		}
		err := d.Decode(&line)
		if errors.Is(err, io.EOF) {
			return n
		}
		assert.NilError(t, err)
		n[line.Event]++
	}
}

func TestLimiter(t *testing.T) {
	zerolog.MessageFieldName = "event"
	now := time.Unix(1000, 0)
	var out bytes.Buffer
	plain := zerolog.New(&out)
	log := plain.Hook(newLimiter(plain, func() time.Time { return now }))
	for range linesPerSecond + 7 {
		log.Info().Msg("noisy")
	}
	log.Info().Msg("quiet")
	assert.DeepEqual(t, events(t, out.String()), map[string]int{"noisy": linesPerSecond, "quiet": 1})
	now = now.Add(time.Second)
	log.Info().Msg("noisy")
	assert.DeepEqual(t, events(t, out.String()), map[string]int{"noisy": linesPerSecond + 1, "quiet": 1, limitNotice: 1})
	assert.Assert(t, strings.Contains(out.String(), `"of":"noisy","lines":7`))
}
