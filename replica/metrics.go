package replica

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// presenceWindow is how recent the last message of a voter has to be for it to count as present:
// several heartbeats of a leader, or a few campaigns where there is none.
const presenceWindow = 3 * time.Second

// Collector exports the replica's view of its group as metrics.
type Collector struct {
	rep *Replica

	known, leaderless, term, role, campaigns, commit, last        *prometheus.Desc
	lastMessageAge, voters, wanted, needed, present, version, age *prometheus.Desc
}

// NewCollector returns a collector for a registry.
func NewCollector(rep *Replica) *Collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("rudderfork_group_"+name, help, labels, nil)
	}
	return &Collector{
		rep:            rep,
		known:          desc("leader_known", "1 while this process knows a leader or leads."),
		leaderless:     desc("leaderless_seconds", "For how long no leader is known; 0 while one is."),
		term:           desc("term", "Current term."),
		role:           desc("role", "1 for the role that the replica has.", "role"),
		campaigns:      desc("campaigns_total", "Elections begun by this process, also those that failed."),
		commit:         desc("commit_index", "Highest index known committed."),
		last:           desc("last_index", "Index of the last entry."),
		lastMessageAge: desc("word_age_seconds", "Age of the newest message of a member; none if there was none. Followers hear each other in campaigns only.", "member"),
		voters:         desc("voters", "Members with a vote."),
		wanted:         desc("voters_wanted", "Voters that bear the losses of the settings; 0 if all vote."),
		needed:         desc("voters_needed", "Voters that elect a leader; 0 if none is known."),
		present:        desc("voters_present", "Voters heard in the last 3 s, and this one; not told by followers, who hear the leader only."),
		version:        desc("document_version", "Version of the newest confirmed document here; 0 if there is none."),
		age:            desc("document_age_seconds", "Age of the newest confirmed change of the document; none if this process did not apply it."),
	}
}

// Describe implements prometheus.Collector.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		c.known, c.leaderless, c.term, c.role, c.campaigns, c.commit, c.last,
		c.lastMessageAge, c.voters, c.wanted, c.needed, c.present, c.version, c.age,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector. It reads only the published status, and so does not wait
// for the disk.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	st, now := c.rep.Status(), c.rep.now()
	gauge(c.known, boolValue(st.LeaderlessSince.IsZero()))
	gauge(c.leaderless, since(st.LeaderlessSince, now).Seconds())
	gauge(c.term, float64(st.Term))
	for _, role := range []quorum.Role{quorum.Follower, quorum.PreCandidate, quorum.Candidate, quorum.Leader} {
		gauge(c.role, boolValue(st.Role == role.String()), role.String())
	}
	ch <- prometheus.MustNewConstMetric(c.campaigns, prometheus.CounterValue, float64(st.Campaigns))
	gauge(c.commit, float64(st.CommitIndex))
	gauge(c.last, float64(st.LastIndex))
	for name, at := range lastMessageTimes(st) {
		gauge(c.lastMessageAge, since(at, now).Seconds(), name)
	}
	voters, present := countVoters(st, now)
	gauge(c.voters, float64(voters))
	gauge(c.wanted, float64(c.rep.wantVoters))
	gauge(c.needed, float64(majority(voters)))
	if st.Role != quorum.Follower.String() {
		gauge(c.present, float64(present))
	}
	v, at := c.rep.machine.document()
	gauge(c.version, float64(v))
	if !at.IsZero() {
		gauge(c.age, since(at, now).Seconds())
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// since returns the time passed since at. It returns 0 for the zero time, and for a time in the
// future, as the clock of another host may give.
func since(at, now time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(0, now.Sub(at))
}

// lastMessageTimes returns when the last message of each replica arrived, by name: the newest over its
// incarnations, two of which may be members while one replaces the other.
func lastMessageTimes(st Status) map[string]time.Time {
	newest := map[string]time.Time{}
	for id, at := range st.LastMessageAt {
		if name := memberName(id); at.After(newest[name]) {
			newest[name] = at
		}
	}
	return newest
}

// countVoters returns the number of voters, and how many of these are present: this replica and those
// whose last message arrived within presenceWindow.
func countVoters(st Status, now time.Time) (voters, present int) {
	for _, m := range st.Members {
		if !m.Voter {
			continue
		}
		voters++
		at, received := st.LastMessageAt[m.ID]
		if m.ID == st.ID || received && now.Sub(at) < presenceWindow {
			present++
		}
	}
	return voters, present
}

// documentVersion returns the version of the queues' document, or 0 if there is none.
func documentVersion(s *state.State) uint64 {
	if d := s.Queues().Document(); d != nil {
		return d.Version
	}
	return 0
}
