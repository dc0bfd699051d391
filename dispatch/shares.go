package dispatch

import "rudderfork.example/rudderfork/fairshare"

// group is what a plan knows of the callers of a queue's non-lasting jobs that have one origin.
type group struct {
	name     fairshare.Group
	standing fairshare.Standing

	// Found by the newest plan.
	live      int        // number of live jobs, at least 1 before the first plan
	waiting   int        // ready tasks without a run, of jobs that are worth something
	cpuMilli  float64    // processors of all active runs, thousandths of a core
	ofWaiting objectives // of jobs with tasks that wait
	all       objectives // of all live jobs
}

// objectives is a sum of objectives, in ms.
type objectives struct {
	jobs int
	sum  float64
}

func (o *objectives) add(ms int64) { o.jobs, o.sum = o.jobs+1, o.sum+float64(ms) }

func (o *objectives) mean() float64 { return o.sum / float64(max(1, o.jobs)) }

// groups holds the groups of the live jobs. The zero value is without shares.
type groups struct {
	standings fairshare.Standings
	byName    map[fairshare.Group]*group
}

func (gs *groups) enabled() bool { return gs.byName != nil }

// update prepares a plan with the present standings, and drops groups without live jobs.
func (gs *groups) update(standings fairshare.Standings) {
	if gs.standings = standings; standings == nil {
		return
	}
	if gs.byName == nil {
		gs.byName = map[fairshare.Group]*group{}
	}
	for name, g := range gs.byName {
		if g.live == 0 {
			delete(gs.byName, name)
			continue
		}
		g.standing = standings.Of(name)
	}
}

// of returns the group of a job; nil without shares, and for a lasting job, which does not
// compete.
func (gs *groups) of(js *jobState) *group {
	if gs.byName == nil || js.lasting {
		return nil
	}
	name := fairshare.GroupOf(js.queue.Name, js.job.Origin)
	g := gs.byName[name]
	if g == nil {
		g = &group{name: name, standing: gs.standings.Of(name), live: 1}
		gs.byName[name] = g
	}
	return g
}

func (js *jobState) standing() fairshare.Standing {
	if js.group == nil {
		return fairshare.Even
	}
	return js.group.standing
}

// demands returns what the groups use once the plan's starts are made, and what still waits.
func (pl *Planner) demands(p *pass) []fairshare.Demand {
	if p.view.Shares == nil {
		return nil
	}
	for _, g := range p.groups.byName {
		*g = group{name: g.name, standing: g.standing}
	}
	var found []*group
	for _, js := range p.jobs {
		if g := js.group; g != nil {
			if g.live == 0 {
				found = append(found, g)
			}
			g.add(p, js)
		}
	}
	for _, st := range p.plan.Starts {
		if js := pl.jobs[st.Task.Job]; js.group != nil {
			js.group.addStart(js, st, p.view.Now)
		}
	}
	list := make([]fairshare.Demand, len(found))
	for i, g := range found {
		list[i] = g.demand()
	}
	return list
}

// add adds a job. Jobs that are worth nothing any more use processors but do not wait: a group
// gains no claim by them.
func (g *group) add(p *pass, js *jobState) {
	g.live++
	g.cpuMilli += js.cpuMilli
	g.all.add(js.objective)
	if js.worthless(p.view.Now) {
		return
	}
	before := g.waiting
	for _, w := range js.waiting {
		if p.isReady(js, w) {
			g.waiting += w.tasks
		}
	}
	if g.waiting > before {
		g.ofWaiting.add(js.objective)
	}
}

// addStart adds a start of the plan.
func (g *group) addStart(js *jobState, st Start, now int64) {
	g.cpuMilli += float64(js.job.Spec.Steps[st.Task.Step].Size.CPUMilli)
	if !st.Copy && !js.worthless(now) {
		g.waiting--
	}
}

func (g *group) demand() fairshare.Demand {
	d := fairshare.Demand{Group: g.name, Waiting: g.waiting, Cores: g.cpuMilli / milliPerCore, ObjectiveMS: g.all.mean()}
	if g.ofWaiting.jobs > 0 {
		d.ObjectiveMS = g.ofWaiting.mean()
	}
	return d
}

const milliPerCore = 1_000
