package vmspeed

import (
	"fmt"
	"testing"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// BenchmarkObserve measures the report of one VM with 30 runs of steps of 20 tasks, in fleets of
// different size.
func BenchmarkObserve(b *testing.B) {
	const runs, tasks = 30, 20
	for _, vms := range []int{76, 3_900} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			m, at := New(), time.Unix(1_000, 0)
			progress := func(i int) (list []Progress) {
				for n := range runs {
					task := i*runs + n
					k := queue.TaskKey{Job: rudderfork.JobID(fmt.Sprint("j", task/tasks)), Index: task % tasks}.Run(1)
					list = append(list, Progress{k, 10 + int(at.Unix()-1_000), float64(at.Sub(time.Unix(1_000, 0)).Milliseconds()), 2_000})
				}
				return list
			}
			for range 2 {
				for i := range vms {
					m.Observe(rudderfork.VMID(fmt.Sprint("vm", i)), "life", progress(i), at)
				}
				at = at.Add(time.Second)
			}
			id, list := rudderfork.VMID(fmt.Sprint("vm", vms/2)), progress(vms/2)
			for b.Loop() {
				m.Observe(id, "life", list, at)
			}
		})
	}
}
