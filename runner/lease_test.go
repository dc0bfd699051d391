package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/wire"
)

// TestLeaseOf holds until when a grant lets starts be made: that of a leader which does not
// say so, as long as the lease.
func TestLeaseOf(t *testing.T) {
	sent := time.Unix(1000, 0)
	starts, none := int64(2000), int64(0)
	for _, c := range []struct {
		name string
		says *int64
		want time.Duration
	}{
		{"a span of its own", &starts, 2 * time.Second},
		{"none is left", &none, 0},
		{"nothing is said", nil, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := leaseOf(&wire.VMGrant{Sent: sent.UnixNano(), LeaseMS: 5000, StartMS: c.says})
			assert.Equal(t, l.StartBy.Sub(sent), c.want)
			assert.Equal(t, l.Until.Sub(sent), 5*time.Second)
		})
	}
}
