package control

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/admin"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/timeline"
)

// Explanation gives the reasons for the decisions about one subject, as sentences,
// newest decision last.
type Explanation struct {
	Subject   string   `json:"subject"`
	Sentences []string `json:"sentences"`
}

func (e *Explanation) addf(format string, args ...any) {
	e.Sentences = append(e.Sentences, fmt.Sprintf(format, args...))
}

// maxThrottleEvents bounds the events that an explanation adds from the timeline.
const maxThrottleEvents = 8

// explain explains a task (job/index), a job or a VM. A request is explained by the
// entry that received it.
func (a *api) explain(w http.ResponseWriter, r *http.Request) error {
	subject := r.FormValue("subject")
	e := &Explanation{Subject: subject}
	a.rep.View(func(s *state.State) {
		switch {
		case s.Task(rudderfork.TaskID(subject)) != nil:
			a.explainTask(e, s, s.Task(rudderfork.TaskID(subject)))
		case s.Job(rudderfork.JobID(subject)) != nil:
			a.explainJob(e, s, s.Job(rudderfork.JobID(subject)))
		case s.VM(rudderfork.VMID(subject)) != nil:
			a.explainVM(e, s, s.VM(rudderfork.VMID(subject)))
		}
	})
	if len(e.Sentences) == 0 {
		return notFound("subject", subject)
	}
	for _, ev := range a.ring.Select(timeline.Query{Subject: subject, Limit: maxThrottleEvents}) {
		if ev.Subject == subject && strings.HasPrefix(ev.Kind, "throttle") {
			e.addf("%s: throttled by its agent: %s.", formatTime(ev.At/1000), ev.Text)
		}
	}
	admin.WriteJSON(w, e)
	return nil
}

func formatTime(ms int64) string {
	return rudderfork.FromMillis(ms).UTC().Format("15:04:05.000")
}

func (a *api) explainTask(e *Explanation, s *state.State, t *state.Task) {
	j := s.Job(t.Job)
	e.addf("Task %s of job %s (team %s, kind %s) is %s since %s; %d of %d units are saved.",
		t.ID, t.Job, j.Spec.Team, j.Spec.Kind, t.Phase, formatTime(t.Since), t.Checkpoint, j.Spec.Units)
	for _, d := range t.Decisions {
		a.addDecision(e, d)
	}
	if t.Phase == rudderfork.TaskPending {
		a.addWaitReason(e, s, t, j)
	}
	a.addCells(e, s, t.Job)
}

func (a *api) addDecision(e *Explanation, d state.Decision) {
	text := fmt.Sprintf("%s: %s", formatTime(d.At), d.What)
	if d.VM != "" {
		text += " on VM " + string(d.VM)
	}
	if d.Reason != "" {
		text += " because: " + d.Reason
	}
	e.addf("%s (lease token %d, table at revision %d, decision at revision %d).", text, d.Token, d.TableRev, d.Revision)
	for _, r := range d.Rejections {
		e.addf("  VM %s was considered and not chosen: %s.", r.VM, r.Reason)
	}
	if age, ok := a.models.ReportAge(d.VM, steady.Now()); ok && d.What == "placed" {
		e.addf("  The newest usage report of VM %s is %v old now.", d.VM, age.Round(time.Millisecond))
	}
}

// addWaitReason adds why a pending task does not run now.
func (a *api) addWaitReason(e *Explanation, s *state.State, t *state.Task, j *state.Job) {
	size := s.JobSize(t.Job)
	switch err := s.CheckLimits(t, size); {
	case j.Blocked != "":
		e.addf("It cannot run as things stand: %s.", j.Blocked)
	case err != nil:
		e.addf("It waits: %v.", err)
	default:
		free := 0
		for _, v := range s.VMs() {
			if v.Live && !v.Draining && size.Fits(v.FreeCapacity()) {
				free++
			}
		}
		e.addf("It waits for room: it needs %s, and %d of %d VMs have that free now; those whose services are near their targets take no more batch work.", size, free, len(s.VMs()))
	}
}

func (a *api) addCells(e *Explanation, s *state.State, job rudderfork.JobID) {
	for _, col := range []string{rudderfork.ColPriority, rudderfork.ColWeight, rudderfork.ColCPU, rudderfork.ColMemory} {
		c := s.Cell(rudderfork.CellKey{Kind: rudderfork.RowJob, Row: string(job), Column: col})
		if c.Revision == 0 || c.Removed {
			e.addf("Cell %s is not set; its default %d counts.", c.Key, s.Value(c.Key))
			continue
		}
		e.addf("Cell %s is %d since revision %d.", c.Key, c.Value, c.Revision)
	}
}

func (a *api) explainJob(e *Explanation, s *state.State, j *state.Job) {
	v := jobView(s, j)
	e.addf("Job %s of team %s has %d tasks: %d pending, %d running, %d done, %d failed.", v.ID, v.Team, v.Tasks, v.Pending, v.Running, v.Done, v.Failed)
	if v.Blocked != "" {
		e.addf("It cannot run as things stand: %s. It takes no room and blocks nobody.", v.Blocked)
	}
	if v.Cancelled {
		e.addf("An operator cancelled it.")
	}
	if size := a.models.Size(v.Kind, v.Size); size != v.Size {
		e.addf("Its tasks declare %s; from what tasks of kind %s were seen to use, they are placed as %s.", v.Size, v.Kind, size)
	}
	a.addCells(e, s, v.ID)
}

func (a *api) explainVM(e *Explanation, s *state.State, v *state.VM) {
	vm := v.Place.VM
	e.addf("VM %s in failure domain %s has %s; %s are kept for services %v; tasks hold %s.", vm, v.Place.Domain, v.Capacity, v.Reserved, v.Services, v.Used)
	switch {
	case !v.Live:
		e.addf("Its lease ran out at %s; it gets no tasks until its agent registers again.", formatTime(v.LostAt))
	case v.Draining:
		e.addf("It is leaving: it gets no new tasks or requests, and its tasks move away.")
	case v.Excluded(rudderfork.Millis(steady.Now())):
		e.addf("It is set aside until %s, because tasks of several jobs failed on it; then it is tried with one task.", formatTime(v.ExcludedUntil))
	case v.OnProbation():
		e.addf("It is on probation with one task at a time, after tasks of several jobs failed on it.")
	}
	if age, ok := a.models.ReportAge(vm, steady.Now()); ok {
		e.addf("Its newest usage report is %v old; its services are at %.0f%% of their targets.", age.Round(time.Millisecond), 100*a.models.Pressure(vm))
	}
	for _, l := range s.Leases(vm) {
		e.addf("It runs task %s under token %d with %s.", l.Task, l.Token, l.Size)
	}
}
