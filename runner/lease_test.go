package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/wire"
)

// TestLeaseOf checks until when a grant allows starts. A grant that does not specify it, as from a
// leader of an earlier release, allows them until the end of the lease.
func TestLeaseOf(t *testing.T) {
	sent := time.Unix(1000, 0)
	starts, none := int64(2000), int64(0)
	for _, c := range []struct {
		name    string
		startMS *int64
		want    time.Duration
	}{
		{"shorter than the lease", &starts, 2 * time.Second},
		{"no time left", &none, 0},
		{"not specified", nil, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := leaseOf(&wire.VMGrant{Sent: sent.UnixNano(), LeaseMS: 5000, StartMS: c.startMS})
			assert.Equal(t, l.StartBy.Sub(sent), c.want)
			assert.Equal(t, l.Until.Sub(sent), 5*time.Second)
		})
	}
}
