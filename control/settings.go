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
	Listen string            // address for peers, nodes and operators
	Admin  string            // address for metrics, readiness and the timeline
	Data   string            // folder of the log and the snapshots
	Group  string            // name of the replication group
	Peers  []quorum.Member   // all founding members, this process included
	Dial   map[string]string // by peer name: the address to dial, if it differs from the one in Peers

	ElectionTimeout time.Duration
	Heartbeat       time.Duration // interval between the leader's heartbeats to its followers
	SnapshotEvery   uint64        // number of log entries between two snapshots
	LeaseTerm       time.Duration // length of a lease
	ClockBound      time.Duration // maximum difference between the clocks of two VMs
	Platform        string        // address of the platform's list of VMs; "" for none
}

// Defaults; docs/DESIGN.md gives the reasons.
const (
	defaultElectionTimeout = 500 * time.Millisecond
	defaultHeartbeat       = 100 * time.Millisecond
	defaultSnapshotEvery   = 10_000
	defaultLeaseTerm       = 5 * time.Second
	defaultClockBound      = 500 * time.Millisecond
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
		ElectionTimeout: f.Duration("control", "election_timeout", defaultElectionTimeout, 50*time.Millisecond, time.Minute),
		Heartbeat:       f.Duration("control", "heartbeat", defaultHeartbeat, 10*time.Millisecond, 10*time.Second),
		SnapshotEvery:   uint64(f.Int("control", "snapshot_every", defaultSnapshotEvery, 10, 10_000_000)),
		LeaseTerm:       f.Duration("control", "lease", defaultLeaseTerm, 500*time.Millisecond, time.Hour),
		ClockBound:      f.Duration("control", "clock_bound", defaultClockBound, 10*time.Millisecond, time.Minute),
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

// self returns this process as a member of the group, with the given ID.
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
