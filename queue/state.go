package queue

import (
	"cmp"
	"slices"

	"rudderfork.example/rudderfork"
)

// State is the replicated state of the queues. It is not safe for concurrent use.
type State struct {
	doc          *Document
	queuesByName map[string]*Queue // rows of doc
	jobs         map[rudderfork.JobID]*Job
	ended        []rudderfork.JobID        // jobs with a final status, the first to end first
	live         map[rudderfork.JobID]*Job // jobs that may still run or have active runs
	vms          map[rudderfork.VMID]*VM
	vmsByID      []*VM   // all of vms, sorted by ID
	waves        []*Wave // oldest first
	clock        Clock
	base         BaseRate
	losses       []unresolvedLoss // of the last unresolvedLossMS, oldest first; some may be resolved since

	evacuations map[rudderfork.Domain]Evacuation

	learned []byte
}

// New returns an empty state.
func New() *State {
	return &State{
		queuesByName: map[string]*Queue{},
		jobs:         map[rudderfork.JobID]*Job{},
		live:         map[rudderfork.JobID]*Job{},
		vms:          map[rudderfork.VMID]*VM{},

		evacuations: map[rudderfork.Domain]Evacuation{},
	}
}

// Document returns the operator's document, or nil if none was accepted yet.
func (s *State) Document() *Document { return s.doc }

// Job returns a job, or nil.
func (s *State) Job(id rudderfork.JobID) *Job { return s.jobs[id] }

// Live returns the jobs that may still run or have active runs, in no order.
func (s *State) Live() map[rudderfork.JobID]*Job { return s.live }

// VM returns a VM, or nil.
func (s *State) VM(id rudderfork.VMID) *VM { return s.vms[id] }

// VMs returns all VMs sorted by ID. The list must not be changed, nor used after the next command.
func (s *State) VMs() []*VM { return s.vmsByID }

// setVM adds a VM or replaces it.
func (s *State) setVM(vm *VM) {
	i, found := slices.BinarySearchFunc(s.vmsByID, vm.ID, func(v *VM, id rudderfork.VMID) int { return cmp.Compare(v.ID, id) })
	if found {
		s.vmsByID[i] = vm
	} else {
		s.vmsByID = slices.Insert(s.vmsByID, i, vm)
	}
	s.vms[vm.ID] = vm
}

// CurrentQueue returns the definition of a job's queue in the current document, or the one at the
// time of submission if the document no longer has the queue.
func (s *State) CurrentQueue(j *Job) Queue {
	if q := s.queuesByName[j.Queue.Name]; q != nil {
		return *q
	}
	return j.Queue
}

// Waiting returns how many accepted jobs of a queue have not begun, and how many of these have a
// run that the leader has ordered. begun reports the jobs that have begun although the state does
// not mark them as begun yet.
func (s *State) Waiting(name string, begun func(rudderfork.JobID) bool) (waiting, ordered int) {
	for _, j := range s.live {
		if j.Queue.Name != name || j.Status.Final() || j.Begun || begun(j.ID) {
			continue
		}
		waiting++
		if j.ActiveRuns > 0 {
			ordered++
		}
	}
	return waiting, ordered
}

// Runnable reports whether a task may start at now (Unix ms), apart from capacity and placement
// rules.
func (s *State) Runnable(j *Job, k TaskKey, now int64) bool {
	t := j.Task(k)
	if t == nil || t.Done || j.Status.Final() {
		return false
	}
	o := j.Occurrences[k.Occurrence]
	return o.DueMS <= now && o.StepReady(j.Spec.Steps[k.Step])
}

// Need returns the resources that a run of the step takes from a VM's capacity. A filler takes no
// processors.
func (st Step) Need() rudderfork.Resources {
	need := st.Size
	if st.Filler {
		need.CPUMilli = 0
	}
	return need
}

// CountRuns returns the number of active runs on a VM of the step and occurrence of k.
func (s *State) CountRuns(vm *VM, k TaskKey) (n int) {
	for o := range vm.runs {
		if o.Job == k.Job && o.Occurrence == k.Occurrence && o.Step == k.Step {
			n++
		}
	}
	return n
}

// RejectReason returns why a run of the task cannot start on a VM, or "" if it can.
func (s *State) RejectReason(j *Job, k TaskKey, vm *VM) string {
	st := j.Spec.Steps[k.Step]
	_, hasRun := vm.runs[k]
	switch {
	case !vm.Live:
		return "the VM is lost"
	case s.Evacuating(vm.Domain):
		return "its failure domain is evacuated"
	case vm.Service != s.CurrentQueue(j).Service:
		return "the queue is not served there"
	case !vm.HasLabel(st.Label):
		return "it lacks the label " + st.Label
	case hasRun:
		return "a run of the task is there already"
	case st.MaxPerVM > 0 && s.CountRuns(vm, k) >= st.MaxPerVM:
		return "it holds as many tasks of the step as it may"
	}
	if lack := vm.used.Add(st.Need()).Lacking(vm.Capacity); lack != "" {
		return "too few " + lack
	}
	return ""
}

func (s *State) addRun(j *Job, k TaskKey, t *Task, r Run) {
	t.Runs = append(t.Runs, r)
	j.ActiveRuns++
	j.changes++
	s.indexRun(j, k, r)
}

func (s *State) indexRun(j *Job, k TaskKey, r Run) {
	vm := s.vms[r.VM]
	if vm.runs == nil {
		vm.runs = map[TaskKey]uint32{}
	}
	vm.runs[k] = r.Number
	vm.changes++
	vm.used = vm.used.Add(j.Spec.Steps[k.Step].Need())
}

func (s *State) removeRun(j *Job, k TaskKey, t *Task, i int) {
	r := t.Runs[i]
	t.Runs = append(t.Runs[:i:i], t.Runs[i+1:]...)
	j.ActiveRuns--
	j.changes++
	vm := s.vms[r.VM]
	delete(vm.runs, k)
	vm.changes++
	vm.used = vm.used.Sub(j.Spec.Steps[k.Step].Need())
	s.retire(j)
}

// retire removes a finished job without active runs from the live jobs.
func (s *State) retire(j *Job) {
	if j.Status.Final() && j.ActiveRuns == 0 {
		delete(s.live, j.ID)
	}
}
