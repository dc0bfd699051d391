package bench

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/placement"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/usage"
)

// The size of the site for which the scheduler is designed. The printed heading calls it
// the letter's size.
const (
	targetVMs   = 3900
	targetTasks = 29_000
	targetTeams = 190
)

// newFilledState returns a state with the given numbers of VMs and pending tasks.
func newFilledState(vms, tasks int) *state.State {
	s := state.New()
	index := uint64(0)
	do := func(c state.Command) {
		index++
		c.At = int64(index)
		s.Apply(index, c)
	}
	for i := range vms {
		do(state.Command{Register: &state.Register{
			Place:    rudderfork.Place{VM: rudderfork.VMID(fmt.Sprint("vm", i)), Domain: rudderfork.Domain(fmt.Sprint("d", i%16)), Region: rudderfork.Region(fmt.Sprint("r", i%6))},
			Addr:     "10.0.0.1:7000",
			Capacity: rudderfork.Resources{CPUMilli: 32_000, MemoryMB: 125_000, Accelerators: 2}, Services: []rudderfork.Service{"tour-desk"},
		}})
	}
	const perJob = 20
	for i := range tasks / perJob {
		do(state.Command{Submit: &state.Submit{Spec: rudderfork.JobSpec{
			ID: rudderfork.JobID(fmt.Sprint("job", i)), Team: rudderfork.Team(fmt.Sprint("team", i%targetTeams)), Kind: fmt.Sprint("k", i%20),
			Tasks: perJob, Units: 100, Cells: map[string]int64{rudderfork.ColCPU: 2000, rudderfork.ColMemory: 4000},
		}}})
	}
	return s
}

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Scale prints the cost of the leader's state and of its planning at several sizes.
func Scale(w io.Writer) {
	printHeading(w, "control's state: memory, snapshot and placing, at shares of the letter's size (%d VMs, %d tasks)", targetVMs, targetTasks)
	fmt.Fprintf(w, "%6s %7s  %9s %12s %10s %10s %14s %14s\n", "VMs", "tasks", "heap MB", "snapshot MB", "encode ms", "decode ms", "place tasks/s", "round of 256 ms")
	for _, share := range []float64{0.05, 0.1, 0.25, 0.5, 1} {
		vms, tasks := int(share*targetVMs), int(share*targetTasks)
		before := heapBytes()
		s := newFilledState(vms, tasks)
		index := uint64(s.Applied())
		p := placement.NewPlanner(placement.NewScored(interference.New(interference.ServicePrior())), interference.New(interference.ServicePrior()), usage.New(time.Now), 1)
		placed, rounds := 0, 0
		start := time.Now()
		for {
			plan := p.PlanRound(s, time.Unix(1000, 0))
			if len(plan.Place.Placements) == 0 {
				break
			}
			index++
			s.Apply(index, state.Command{Place: &plan.Place})
			placed += len(plan.Place.Placements)
			rounds++
		}
		took := time.Since(start)
		heap := float64(heapBytes()-before) / 1e6
		at := time.Now()
		data, err := s.Encode()
		encode := time.Since(at)
		at = time.Now()
		_, derr := state.Decode(data)
		decode := time.Since(at)
		if err != nil || derr != nil {
			fmt.Fprintln(w, "snapshot failed:", err, derr)
		}
		fmt.Fprintf(w, "%6d %7d  %9.1f %12.1f %10.0f %10.0f %14.0f %14.2f\n", vms, placed, heap, float64(len(data))/1e6,
			ms(encode), ms(decode), float64(placed)/took.Seconds(), ms(took)/float64(max(1, rounds)))
	}
}

// Recovery prints how long a control process takes to read its disk and to restore its
// state, from logs of several lengths and from a snapshot that replaces the log.
func Recovery(w io.Writer) (err error) {
	printHeading(w, "restart of a control process: reading the disk and applying, by commands since the last snapshot")
	fmt.Fprintf(w, "%9s %10s %12s %15s\n", "commands", "log MB", "log ms", "snapshot ms")
	for _, n := range []int{1000, 4000, 16_000, 64_000} {
		logged, size, err := timeRecovery(n, false)
		if err != nil {
			return err
		}
		snapped, _, err := timeRecovery(n, true)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%9d %10.2f %12.0f %15.0f\n", n, float64(size)/1e6, ms(logged), ms(snapped))
	}
	return nil
}

// timeRecovery writes n commands to a store, and measures how long it takes to open the
// store and to restore the state. If snapshot is set, a snapshot replaces the log before that.
// size is the size of the log without the snapshot, in bytes.
func timeRecovery(n int, snapshot bool) (took time.Duration, size int64, err error) {
	root, err := os.MkdirTemp("", "rudderfork-bench-")
	if err != nil {
		return 0, 0, err
	}
	defer os.RemoveAll(root)
	dir := filepath.Join(root, "data")
	if err := disk.Format(dir, disk.Identity{ID: "c1#1", Members: []quorum.Member{{ID: "c1#1", Voter: true}}}); err != nil {
		return 0, 0, err
	}
	s, err := disk.Open(dir)
	if err != nil {
		return 0, 0, err
	}
	st := state.New()
	var es []quorum.Entry
	for i := 1; i <= n; i++ {
		k := rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: fmt.Sprint("team", i%targetTeams), Column: rudderfork.ColWeight}
		c := state.Command{At: int64(i), Edit: &state.Edit{ID: fmt.Sprint("edit-", i), Writes: []state.CellWrite{{Key: k, Value: int64(1 + i%1000), IfRevision: st.Cell(k).Revision}}}}
		data, err := cbor.Marshal(c)
		if err != nil {
			return 0, 0, err
		}
		st.Apply(uint64(i), c)
		es = append(es, quorum.Entry{Index: uint64(i), Term: 1, Kind: quorum.EntryCommand, Data: data})
	}
	if err := s.Save(quorum.Ready{HardState: &quorum.HardState{Term: 1}, Entries: es}); err != nil {
		return 0, 0, err
	}
	size = s.LogBytes()
	if snapshot {
		data, err := st.Encode()
		if err != nil {
			return 0, 0, err
		}
		if err := s.SaveSnapshot(quorum.Snapshot{Index: uint64(n), Term: 1, Data: data}, nil); err != nil {
			return 0, 0, err
		}
	}
	if err := s.Close(); err != nil {
		return 0, 0, err
	}
	at := time.Now()
	s, err = disk.Open(dir)
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	_, snap, entries := s.TakeLoaded()
	restored, err := state.Decode(snap.Data)
	if err != nil {
		return 0, 0, err
	}
	for _, e := range entries {
		var c state.Command
		if err := cbor.Unmarshal(e.Data, &c); err != nil {
			return 0, 0, err
		}
		restored.Apply(e.Index, c)
	}
	if restored.Revision() != st.Revision() {
		return 0, 0, fmt.Errorf("state with revision %d was restored with revision %d", st.Revision(), restored.Revision())
	}
	return time.Since(at), size, nil
}
