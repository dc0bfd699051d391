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

// assertNeverSilent asserts that an attempt goes on through many intervals without an
// interim response.
func assertNeverSilent(t *testing.T, iw *interimWatcher, supported bool) {
	t.Helper()
	for range 10 * relay.MaxMissedInterim {
		assert.Assert(t, !iw.tick(supported))
	}
}

// assertSilentAfterMax asserts that an attempt is given up after MaxMissedInterim
// intervals, and not before.
func assertSilentAfterMax(t *testing.T, iw *interimWatcher, supported bool) {
	t.Helper()
	for range relay.MaxMissedInterim - 1 {
		assert.Assert(t, !iw.tick(supported))
	}
	assert.Assert(t, iw.tick(supported))
}

func TestTick(t *testing.T) {
	t.Run("the agent sends interim responses", func(t *testing.T) { assertSilentAfterMax(t, &interimWatcher{}, true) })
	t.Run("the agent of an earlier release sends none", func(t *testing.T) { assertNeverSilent(t, &interimWatcher{}, false) })
	t.Run("no session, but an interim response has come", func(t *testing.T) {
		iw := &interimWatcher{}
		iw.recordInterim()
		assert.Assert(t, !iw.tick(false))
		assertSilentAfterMax(t, iw, false)
	})
	t.Run("late interim responses", func(t *testing.T) {
		iw := &interimWatcher{}
		for range 10 {
			assert.Assert(t, !iw.tick(true))
			assert.Assert(t, !iw.tick(true))
			iw.recordInterim()
			assert.Assert(t, !iw.tick(true))
		}
		assertSilentAfterMax(t, iw, true)
	})
	t.Run("a slow body, for which the headers may wait", func(t *testing.T) {
		iw := &interimWatcher{}
		iw.setAwaitingBody(true)
		assertNeverSilent(t, iw, true)
		iw.setAwaitingBody(false)
		assertSilentAfterMax(t, iw, true)
	})
	t.Run("a slow body, after an interim response", func(t *testing.T) {
		iw := &interimWatcher{}
		iw.setAwaitingBody(true)
		iw.recordInterim()
		assert.Assert(t, !iw.tick(true))
		assertSilentAfterMax(t, iw, true)
	})
}

// TestWatchedBody checks that the body of a watched request is sent whole, without an
// Expect header.
func TestWatchedBody(t *testing.T) {
	r, w := io.Pipe()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://a1/", r)
	assert.NilError(t, err)
	req.Header.Set("Expect", "100-continue")
	req, iw := watchInterim(req, func() bool { return false })
	defer iw.cancel(nil)
	defer iw.stop()
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
	assert.Assert(t, !iw.awaitingBody)
}
