//go:build proof

package proof

import (
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/internal/harness"
)

// runProgram runs one of the programs and returns its exit code and what it
// wrote to standard error.
func runProgram(t *testing.T, name string, args ...string) (code int, stderr string) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), filepath.Join(os.Getenv("RUDDER_BIN"), name), args...)
	var b strings.Builder
	cmd.Stderr = &b
	_ = cmd.Run() // the exit code is returned instead
	return cmd.ProcessState.ExitCode(), b.String()
}

// checkOutput checks that an output contains all wanted texts, and no panic.
func checkOutput(t *testing.T, got string, want ...string) {
	t.Helper()
	assert.Assert(t, !strings.Contains(got, "panic"), "%s", got)
	for _, w := range want {
		assert.Assert(t, strings.Contains(got, w), "%q lacks %q", got, w)
	}
}

// TestBadInput tests that each kind of bad input is answered with one clear message that
// says what is wrong and where.
func TestBadInput(t *testing.T) {
	ctx, c := startCluster(t, harness.Options{Agents: 1, Entries: 1})
	control := strings.Join(c.ControlAddrs(), ",")
	bad := filepath.Join(t.TempDir(), "bad.ini")
	assert.NilError(t, os.WriteFile(bad, []byte("[place]\nvm = v m\n[entry]\nname = e\nlisten = here\nbeat = -1s\n"), 0o644))

	t.Run("wrong settings", func(t *testing.T) {
		for _, args := range [][]string{{"rudder-entry", "run", "-settings", bad}, {"rudder-entry", "check", "-settings", bad}, {"rudderctl", "check", "entry", bad}} {
			code, out := runProgram(t, args[0], args[1:]...)
			assert.Equal(t, code, 2, "%v", args)
			checkOutput(t, out, "bad.ini: [place] vm", "bad.ini: [place] domain: is missing", `[entry] listen: "here" is not an address`, `[entry] beat: "-1s"`, "[entry] admin", "[entry] control")
		}
	})
	t.Run("unreachable control", func(t *testing.T) {
		code, out := runProgram(t, "rudderctl", "-control", "127.0.0.1:1", "-timeout", "300ms", "vms")
		assert.Equal(t, code, 1)
		checkOutput(t, out, "GET /v1/vms", "127.0.0.1:1")
	})
	t.Run("taken port", func(t *testing.T) {
		taken := filepath.Join(t.TempDir(), "taken.ini")
		text := "[place]\nvm = v\ndomain = d\n[entry]\nname = e\nlisten = " + c.Proc("e1").Listen() + "\nadmin = 127.0.0.1:0\ncontrol = 127.0.0.1:1\n"
		assert.NilError(t, os.WriteFile(taken, []byte(text), 0o644))
		code, out := runProgram(t, "rudder-entry", "run", "-settings", taken)
		assert.Equal(t, code, 1)
		checkOutput(t, out, "entry e", c.Proc("e1").Listen(), "address already in use")
	})
	t.Run("impossible number", func(t *testing.T) {
		code, out := runProgram(t, "rudderctl", "-control", control, "set", "service/tour-desk/slots=0")
		assert.Equal(t, code, 1)
		checkOutput(t, out, "service/tour-desk/slots: 0 is out of range; want 1 to 64")
	})
	t.Run("unknown column", func(t *testing.T) {
		_, out := runProgram(t, "rudderctl", "-control", control, "set", "service/tour-desk/wieght=1")
		checkOutput(t, out, `has no column "wieght"; want one of weight, slots`)
	})
	post := func(body string) (int, string) {
		resp, err := http.Post("http://"+c.Proc(waitLeader(ctx, t, c, "")).Listen()+"/v1/jobs", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		return resp.StatusCode, string(b)
	}
	t.Run("malformed body", func(t *testing.T) {
		code, out := post(`{"id": `)
		assert.Equal(t, code, http.StatusBadRequest)
		checkOutput(t, out, "body: unexpected EOF", `"ran":"no"`)
	})
	t.Run("oversize body", func(t *testing.T) {
		code, out := post(`{"id": "` + strings.Repeat("x", 2<<20) + `"}`)
		assert.Equal(t, code, http.StatusRequestEntityTooLarge)
		checkOutput(t, out, "larger than 1048576 bytes")
	})
	t.Run("oversize body of a keyed request", func(t *testing.T) {
		a := c.Caller("e1").Do(ctx, http.MethodPost, "/echo", map[string]string{"Idempotency-Key": "big"}, strings.NewReader(strings.Repeat("x", 2<<20)))
		assert.NilError(t, a.Err)
		assert.Equal(t, a.Status, http.StatusRequestEntityTooLarge)
	})
	t.Run("unknown service and bad deadline", func(t *testing.T) {
		a := c.Caller("e1").Do(ctx, http.MethodGet, "/../nothing/x", nil, nil)
		assert.Equal(t, a.Status, http.StatusNotFound)
		a = c.Caller("e1").Do(ctx, http.MethodGet, "/echo", map[string]string{"Rudderfork-Deadline": "tomorrow"}, nil)
		assert.Equal(t, a.Status, http.StatusBadRequest)
	})
	t.Run("nothing was lost", func(t *testing.T) {
		assert.NilError(t, c.WaitReady(ctx))
		_, err := c.Caller("e1").Hold(ctx, "s", "k", "t")
		assert.NilError(t, err)
	})
}
