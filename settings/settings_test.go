package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o644))
	return path
}

func TestAllErrorsReported(t *testing.T) {
	f := Open(write(t, `[a]
addr = nowhere
port = 127.0.0.1:99999
n = 12
d = soon
tpyo = 1
name = b@d
[b]
x = 1
`))
	f.Addr("a", "addr")
	f.Addr("a", "port")
	assert.Equal(t, f.Int("a", "n", 5, 1, 10), int64(5))
	f.Duration("a", "d", time.Second, time.Millisecond, time.Hour)
	f.Name("a", "name")
	f.Text("a", "gone", "a text")
	want := []string{
		`x.ini: [a] addr: "nowhere" is not an address; want an IP address and a port, as in 127.0.0.1:7100`,
		`x.ini: [a] port: "127.0.0.1:99999" has no valid port; want 0 to 65535`,
		`x.ini: [a] n: "12" is not valid; want a whole number from 1 to 10`,
		`x.ini: [a] d: "soon" is not valid; want a duration from 1ms to 1h0m0s, as in 500ms or 10s`,
		`x.ini: [a] name: name "b@d": character '@' is not allowed; want letters, digits, '-', '_' or '.'`,
		`x.ini: [a] gone: is missing; want a text`,
		`x.ini: [a] tpyo: is unknown; want one of addr, d, gone, n, name, port`,
		`x.ini: [b] x: is unknown; want one of no keys: the section is unknown too`,
	}
	assert.Equal(t, f.Err().Error(), strings.Join(want, "\n"))
}

func TestValidFile(t *testing.T) {
	f := Open(write(t, "[a]\nlist = x=1.2.3.4:5, y=1.2.3.4:6\nnames = p, q\n"))
	assert.DeepEqual(t, f.Pairs("a", "list"), [][2]string{{"x", "1.2.3.4:5"}, {"y", "1.2.3.4:6"}})
	assert.DeepEqual(t, f.Names("a", "names"), []string{"p", "q"})
	assert.Equal(t, f.Duration("a", "d", time.Second, 0, time.Hour), time.Second)
	assert.NilError(t, f.Err())
}

func TestMissingFile(t *testing.T) {
	assert.ErrorContains(t, Open("no.ini").Err(), "no.ini")
}
