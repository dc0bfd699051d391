package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/relay"
)

// assertPasses asserts that an attempt outlives many pauses without a sign.
func assertPasses(t *testing.T, s *signs, given bool) {
	t.Helper()
	for range 10 * relay.MissedSigns {
		assert.Assert(t, !s.tick(given))
	}
}

// assertGivenUp asserts that an attempt is given up after the missed signs, and not
// before.
func assertGivenUp(t *testing.T, s *signs, given bool) {
	t.Helper()
	for range relay.MissedSigns - 1 {
		assert.Assert(t, !s.tick(given))
	}
	assert.Assert(t, s.tick(given))
}

func TestTick(t *testing.T) {
	t.Run("an agent that gives signs", func(t *testing.T) { assertGivenUp(t, &signs{}, true) })
	t.Run("an agent of an earlier release", func(t *testing.T) { assertPasses(t, &signs{}, false) })
	t.Run("the session is away, and signs have come", func(t *testing.T) {
		s := &signs{}
		s.hear()
		assert.Assert(t, !s.tick(false))
		assertGivenUp(t, s, false)
	})
	t.Run("a sign late", func(t *testing.T) {
		s := &signs{}
		for range 10 {
			assert.Assert(t, !s.tick(true))
			assert.Assert(t, !s.tick(true))
			s.hear()
			assert.Assert(t, !s.tick(true))
		}
		assertGivenUp(t, s, true)
	})
	t.Run("a slow body, whose headers may wait for it", func(t *testing.T) {
		s := &signs{}
		s.waiting(true)
		assertPasses(t, s, true)
		s.waiting(false)
		assertGivenUp(t, s, true)
	})
	t.Run("a slow body, after a sign", func(t *testing.T) {
		s := &signs{}
		s.waiting(true)
		s.hear()
		assert.Assert(t, !s.tick(true))
		assertGivenUp(t, s, true)
	})
}

// TestWatchedBody follows the body of a watched request.
func TestWatchedBody(t *testing.T) {
	r, w := io.Pipe()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://a1/", r)
	assert.NilError(t, err)
	req.Header.Set("Expect", "100-continue")
	req, s := watchSigns(req, func() bool { return false })
	defer s.cancel(nil)
	defer s.end()
	assert.Equal(t, req.Header.Get("Expect"), "")
	done := make(chan string)
	go func() {
		data, _ := io.ReadAll(req.Body)
		done <- string(data)
	}()
	_, err = io.Copy(w, strings.NewReader("row 7"))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	assert.Equal(t, <-done, "row 7")
	assert.Assert(t, !s.body)
}
