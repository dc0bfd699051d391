package entry

import (
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/settings"
)

// Settings are the settings of an entry.
type Settings struct {
	Name              string
	Place             rudderfork.Place
	Listen            string
	Admin             string
	Control           []string
	HeartbeatInterval time.Duration
	LeaveGrace        time.Duration // from reporting that it is not ready to closing the listener
	DrainLimit        time.Duration // for requests in progress to end
	Timeout           time.Duration // for requests without a deadline
	Picker            string        // "probing", or one of the simple strategies for comparison
}

const (
	defaultHeartbeatInterval = time.Second
	defaultLeaveGrace        = 3 * time.Second
	defaultDrainLimit        = 4 * time.Hour
	defaultTimeout           = 30 * time.Second
)

// ReadSettings reads the settings of an entry from a file, and checks them.
func ReadSettings(path string) (cfg Settings, err error) {
	f := settings.Open(path)
	cfg = Settings{
		Place:             f.Place(),
		Name:              f.Name("entry", "name"),
		Listen:            f.Addr("entry", "listen"),
		Admin:             f.Addr("entry", "admin"),
		Control:           f.Addrs("entry", "control"),
		HeartbeatInterval: f.Duration("entry", "beat", defaultHeartbeatInterval, 50*time.Millisecond, time.Minute),
		LeaveGrace:        f.Duration("entry", "leave_grace", defaultLeaveGrace, 0, time.Minute),
		DrainLimit:        f.Duration("entry", "drain_limit", defaultDrainLimit, time.Second, 48*time.Hour),
		Timeout:           f.Duration("entry", "timeout", defaultTimeout, 100*time.Millisecond, time.Hour),
		Picker:            f.Optional("entry", "picker", pickerProbing),
	}
	if newPicker(cfg, 1) == nil {
		f.AddError("entry", "picker", "is unknown; want probing, random, round-robin or least-in-flight")
	}
	return cfg, f.Err()
}
