package replica

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// presentSpan is how new the word of a voter has to be for it to count as present:
// some heartbeats of a leader, and a few campaigns where there is none.
const presentSpan = 3 * time.Second

// Collector exports what a replica knows of its group.
type Collector struct {
	rep *Replica

	known, leaderless, term, role, campaigns, commit, last *prometheus.Desc
	word, voters, wanted, needed, present, version, age    *prometheus.Desc
}

// NewCollector returns a collector for a registry.
func NewCollector(rep *Replica) *Collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("rudderfork_group_"+name, help, labels, nil)
	}
	return &Collector{
		rep:        rep,
		known:      desc("leader_known", "1 while this process knows a leader or leads."),
		leaderless: desc("leaderless_seconds", "For how long no leader is known; 0 while one is."),
		term:       desc("term", "Current term."),
		role:       desc("role", "1 for the role that the replica has.", "role"),
		campaigns:  desc("campaigns_total", "Elections begun by this process, also those that failed."),
		commit:     desc("commit_index", "Highest index known committed."),
		last:       desc("last_index", "Index of the last entry."),
		word:       desc("word_age_seconds", "Age of the newest message of a member; none if there was none. Followers hear each other in campaigns only.", "member"),
		voters:     desc("voters", "Members with a vote."),
		wanted:     desc("voters_wanted", "Voters that bear the losses of the settings; 0 if all vote."),
		needed:     desc("voters_needed", "Voters that elect a leader; 0 if none is known."),
		present:    desc("voters_present", "Voters heard in the last 3 s, and this one; not told by followers, who hear the leader only."),
		version:    desc("document_version", "Version of the newest confirmed document here; 0 if there is none."),
		age:        desc("document_age_seconds", "Age of the newest confirmed change of the document; none if this process did not apply it."),
	}
}

// Describe implements prometheus.Collector.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		c.known, c.leaderless, c.term, c.role, c.campaigns, c.commit, c.last,
		c.word, c.voters, c.wanted, c.needed, c.present, c.version, c.age,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector. It reads what the replica has published, and
// so does not wait for its disk.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	st, now := c.rep.Status(), c.rep.now()
	gauge(c.known, truth(st.LeaderlessSince.IsZero()))
	gauge(c.leaderless, since(st.LeaderlessSince, now).Seconds())
	gauge(c.term, float64(st.Term))
	for _, role := range []quorum.Role{quorum.Follower, quorum.PreCandidate, quorum.Candidate, quorum.Leader} {
		gauge(c.role, truth(st.Role == role.String()), role.String())
	}
	ch <- prometheus.MustNewConstMetric(c.campaigns, prometheus.CounterValue, float64(st.Campaigns))
	gauge(c.commit, float64(st.Commit))
	gauge(c.last, float64(st.Last))
	for name, at := range words(st) {
		gauge(c.word, since(at, now).Seconds(), name)
	}
	voters, present := countVoters(st, now)
	gauge(c.voters, float64(voters))
	gauge(c.wanted, float64(c.rep.size))
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

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// since returns the time that has passed, or 0 for the zero time and for a time of
// another machine's clock that is ahead.
func since(at, now time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(0, now.Sub(at))
}

// words returns when the members were last heard, by name: the newest over the lives
// of a name, of which two may be members while one takes the other's place.
func words(st Status) map[string]time.Time {
	newest := map[string]time.Time{}
	for id, at := range st.LastMessageAt {
		if name := memberName(id); at.After(newest[name]) {
			newest[name] = at
		}
	}
	return newest
}

// countVoters returns how many members vote, and how many of these are present.
func countVoters(st Status, now time.Time) (voters, present int) {
	for _, m := range st.Members {
		if !m.Voter {
			continue
		}
		voters++
		at, heard := st.LastMessageAt[m.ID]
		if m.ID == st.ID || heard && now.Sub(at) < presentSpan {
			present++
		}
	}
	return voters, present
}

// version is that of the queues' document, or 0 if none was ever taken.
func version(s *state.State) uint64 {
	if d := s.Queues().Document(); d != nil {
		return d.Version
	}
	return 0
}
