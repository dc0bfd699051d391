package control

import (
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/settings"
)

// Settings are the settings of a control process.
type Settings struct {
	Name   string
	Place  rudderfork.Place
	Listen string
	Admin  string
	Data   string
	Group  string
	Peers  []quorum.Member   // all founding members, this process included
	Dial   map[string]string // by peer name: the address to dial, if it differs from the one in Peers

	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	SnapshotEvery   uint64
	LeaseTerm       time.Duration
	ClockBound      time.Duration
	Platform        string // address of the platform's list of VMs; "" for none
}

// Defaults; docs/DESIGN.md gives the reasons.
const (
	defaultElection  = 500 * time.Millisecond
	defaultHeartbeat = 100 * time.Millisecond
	defaultSnapshot  = 10_000
	defaultLease     = 5 * time.Second
	defaultBound     = 500 * time.Millisecond
)

// ReadSettings reads the settings of a control process.
func ReadSettings(path string) (cfg Settings, err error) {
	f := settings.Open(path)
	cfg = Settings{
		Place:           f.Place(),
		Name:            f.Name("control", "name"),
		Listen:          f.Addr("control", "listen"),
		Admin:           f.Addr("control", "admin"),
		Data:            f.Text("control", "data", "a folder"),
		Group:           f.Name("control", "group"),
		ElectionTimeout: f.Duration("control", "election_timeout", defaultElection, 50*time.Millisecond, time.Minute),
		Heartbeat:       f.Duration("control", "heartbeat", defaultHeartbeat, 10*time.Millisecond, 10*time.Second),
		SnapshotEvery:   uint64(f.Int("control", "snapshot_every", defaultSnapshot, 10, 10_000_000)),
		LeaseTerm:       f.Duration("control", "lease", defaultLease, 500*time.Millisecond, time.Hour),
		ClockBound:      f.Duration("control", "clock_bound", defaultBound, 10*time.Millisecond, time.Minute),
		Platform:        f.OptionalAddr("control", "platform"),
	}
	self := false
	for _, p := range f.Pairs("control", "peers") {
		cfg.Peers = append(cfg.Peers, quorum.Member{Name: p[0], Addr: p[1]})
		self = self || p[0] == cfg.Name
	}
	if !self && cfg.Name != "" {
		f.AddError("control", "peers", "does not list this process; want it to contain "+cfg.Name+"=address")
	}
	if cfg.Heartbeat*2 > cfg.ElectionTimeout {
		f.AddError("control", "heartbeat", "is too long; want at most half of election_timeout")
	}
	cfg.Dial = map[string]string{}
	if f.Optional("control", "dial", "") != "" {
		for _, p := range f.Pairs("control", "dial") {
			cfg.Dial[p[0]] = p[1]
		}
	}
	return cfg, f.Err()
}

// self returns the member that stands for this process.
func (s Settings) self(id quorum.MemberID) quorum.Member {
	self := quorum.Member{ID: id, Name: s.Name}
	for _, m := range s.Peers {
		if m.Name == s.Name {
			self.Addr = m.Addr
		}
	}
	return self
}

// addrs returns the addresses at which to dial the other founding members.
func (s Settings) addrs() (addrs []string) {
	for _, m := range s.Peers {
		switch a := s.Dial[m.Name]; {
		case m.Name == s.Name:
		case a != "":
			addrs = append(addrs, a)
		default:
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}
