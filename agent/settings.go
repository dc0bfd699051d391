package agent

import (
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/settings"
)

// Settings are the settings of an agent.
type Settings struct {
	Name              string
	Place             rudderfork.Place
	Listen            string
	Advertise         string // address for entries, if it differs from Listen
	Admin             string
	Control           []string
	HeartbeatInterval time.Duration
	DrainLimit        time.Duration // for requests in progress to end, when the agent stops
	Upstreams         []UpstreamAddr
	Worker            string               // address of the platform's worker; "" for none
	Capacity          rudderfork.Resources // of the VM
	Reserved          rudderfork.Resources // part of Capacity that is kept for services
}

// UpstreamAddr says where a service's upstream listens on this VM.
type UpstreamAddr struct {
	Service rudderfork.Service
	Addr    string
}

const (
	defaultHeartbeatInterval = time.Second
	defaultDrainLimit        = 4 * time.Hour
)

// ReadSettings reads the settings of an agent.
func ReadSettings(path string) (cfg Settings, err error) {
	f := settings.Open(path)
	cfg = Settings{
		Place:             f.Place(),
		Name:              f.Name("agent", "name"),
		Listen:            f.Addr("agent", "listen"),
		Advertise:         f.OptionalAddr("agent", "advertise"),
		Admin:             f.Addr("agent", "admin"),
		Control:           f.Addrs("agent", "control"),
		HeartbeatInterval: f.Duration("agent", "beat", defaultHeartbeatInterval, 50*time.Millisecond, time.Minute),
		DrainLimit:        f.Duration("agent", "drain_limit", defaultDrainLimit, time.Second, 48*time.Hour),
		Worker:            f.OptionalAddr("worker", "addr"),
	}
	if f.Optional("agent", "upstreams", "") != "" {
		for _, p := range f.Pairs("agent", "upstreams") {
			cfg.Upstreams = append(cfg.Upstreams, UpstreamAddr{rudderfork.Service(p[0]), p[1]})
		}
	}
	const maxResource = 1_000_000_000
	cfg.Capacity = rudderfork.Resources{
		CPUMilli:     f.Int("worker", "cpu_milli", 0, 0, maxResource),
		MemoryMB:     f.Int("worker", "memory_mb", 0, 0, maxResource),
		Accelerators: f.Int("worker", "accelerators", 0, 0, maxResource),
	}
	cfg.Reserved = rudderfork.Resources{
		CPUMilli: f.Int("worker", "reserved_cpu_milli", 0, 0, maxResource),
		MemoryMB: f.Int("worker", "reserved_memory_mb", 0, 0, maxResource),
	}
	if !cfg.Reserved.Fits(cfg.Capacity) {
		f.AddError("worker", "reserved_cpu_milli", "and reserved_memory_mb exceed the capacity of the VM; want at most cpu_milli and memory_mb")
	}
	return cfg, f.Err()
}
