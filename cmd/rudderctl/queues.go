package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path"
	"strings"
	"text/tabwriter"
	"time"

	"rudderfork.example/rudderfork/operator"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/scheduler"
)

var (
	queueJSON bool
	queueWait bool

	endEvacuation bool
)

// jobPollInterval is the time between two polls of the status of a job.
const jobPollInterval = 200 * time.Millisecond

// jsonUsage is the usage of a command with jsonFlag alone.
const jsonUsage = "[-json]"

func jsonFlag(f *flag.FlagSet) { f.BoolVar(&queueJSON, "json", false, "print JSON") }

func submitQueueFlags(f *flag.FlagSet) {
	f.BoolVar(&queueWait, "wait", false, "print the job's progress until it is finished; fail unless it is completed")
}

func evacuateFlags(f *flag.FlagSet) {
	f.BoolVar(&endEvacuation, "end", false, "end the evacuation")
}

var queueCommands = []*command{
	{name: "queue-put", usage: "FILE", synopsis: "replace the queues' configuration document by a JSON file (- for standard input)", minArgs: 1, run: putQueues},
	{name: "queues", usage: jsonUsage, synopsis: "list the queues", flags: jsonFlag, run: listQueues},
	{name: "queue-vms", usage: jsonUsage, synopsis: "list the VMs that run the queues' tasks", flags: jsonFlag, run: listQueueVMs},
	{name: "queue-shares", usage: jsonUsage, synopsis: "list the groups of callers that share the queues' capacity, and who is ahead or behind", flags: jsonFlag, run: listQueueShares},
	{name: "queue-jobs", usage: jsonUsage, synopsis: "list the queues' jobs that are not finished", flags: jsonFlag, run: listQueueJobs},
	{name: "queue-job", usage: "[-json] ID", synopsis: "show a job's tasks, why they wait, and every decision on it", minArgs: 1, flags: jsonFlag, run: showQueueJob},
	{name: "queue-suspects", usage: jsonUsage, synopsis: "list the tasks under which executors have crashed", flags: jsonFlag, run: listSuspects},
	{name: "queue-clear", usage: "TASK", synopsis: "clear the suspicion against a task (job.occurrence.step.index)", minArgs: 1, run: clearSuspect},
	{name: "queue-evacuations", usage: jsonUsage, synopsis: "list the failure domains under evacuation, in which no task is started", flags: jsonFlag, run: listEvacuations},
	{name: "queue-evacuate", usage: "[-end] DOMAIN", synopsis: "start no more tasks in a failure domain, or with -end allow starts again", minArgs: 1, flags: evacuateFlags, run: evacuateDomain},
	{name: "queue-submit", usage: "[-wait] HOST PATH FILE", synopsis: "submit a job of steps from a JSON file", minArgs: 3, flags: submitQueueFlags, run: submitToQueue},
	{name: "queue-cancel", usage: "HOST PATH", synopsis: "cancel a job of a queue", minArgs: 2, run: cancelInQueue},
}

// readJSON reads a file, or standard input for "-".
func readJSON(file string, v any) error {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// show prints v as JSON if -json is given, else as a table.
func show(v any, table func(w io.Writer)) error {
	if queueJSON {
		return json.NewEncoder(os.Stdout).Encode(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func putQueues(ctx context.Context, c *operator.Client, args []string) error {
	var d queue.Document
	if err := readJSON(args[0], &d); err != nil {
		return err
	}
	if err := c.PutQueues(ctx, d); err != nil {
		return err
	}
	fmt.Println("accepted")
	return nil
}

func listQueues(ctx context.Context, c *operator.Client, _ []string) error {
	qs, err := c.Queues(ctx)
	if err != nil {
		return err
	}
	return show(qs, func(w io.Writer) {
		fmt.Fprintln(w, "QUEUE\tHOST\tPREFIX\tSERVICE\tPRIORITY\tATTEMPTS\tWAITING\tLIVE")
		for _, q := range qs {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", q.Name, q.Host, q.Prefix, q.Service, q.Priority, q.MaxAttempts, q.Waiting, q.Live)
		}
	})
}

func listQueueVMs(ctx context.Context, c *operator.Client, _ []string) error {
	vms, err := c.QueueVMs(ctx)
	if err != nil {
		return err
	}
	return show(vms, func(w io.Writer) {
		fmt.Fprintln(w, "VM\tSERVICE\tDOMAIN\tRACK\tSTATE\tSPEED\tRUNS\tUSED\tCAPACITY")
		for _, v := range vms {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%v\t%v\n", v.ID, v.Service, v.Domain, v.Rack, vmState(v), vmSpeed(v), v.Runs, v.Used, v.Capacity)
		}
	})
}

func vmState(v scheduler.VMView) string {
	switch {
	case !v.Live:
		return "lost"
	case !v.Usable:
		return "silent"
	case v.Draining:
		return "draining"
	}
	return "ready"
}

func listQueueShares(ctx context.Context, c *operator.Client, _ []string) error {
	groups, err := c.QueueShares(ctx)
	if err != nil {
		return err
	}
	return show(groups, func(w io.Writer) {
		fmt.Fprintln(w, "QUEUE\tORIGIN\tWEIGHT\tATTAINED\tSHARE\tLAG\tBOUND\tCORES\tWAITING\tSTANDING")
		for _, g := range groups {
			fmt.Fprintf(w, "%s\t%s\t%.0f\t%.1f\t%.3f\t%.1f\t%.1f\t%.1f\t%d\t%s\n", g.Queue, cmp.Or(g.Origin, "-"), g.Weight, g.Attained, g.Share, g.Lag, g.Bound, g.Cores, g.Waiting, g.Standing)
		}
	})
}

// vmSpeed returns the speed of a VM relative to the usual, or "-" if speeds are not learned.
func vmSpeed(v scheduler.VMView) string {
	if v.Speed == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", v.Speed)
}

func listQueueJobs(ctx context.Context, c *operator.Client, _ []string) error {
	js, err := c.QueueJobs(ctx)
	if err != nil {
		return err
	}
	return show(js, func(w io.Writer) {
		fmt.Fprintln(w, "JOB\tQUEUE\tSTATUS\tSUBMITTED\tOBJECTIVE")
		for _, j := range js {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d ms\n", j.ID, j.Queue, j.Status, time.UnixMilli(j.SubmittedAt).UTC().Format(time.TimeOnly), j.ObjectiveMS)
		}
	})
}

func listSuspects(ctx context.Context, c *operator.Client, _ []string) error {
	list, err := c.QueueSuspects(ctx)
	if err != nil {
		return err
	}
	return show(list, func(w io.Writer) {
		fmt.Fprintln(w, "TASK\tQUEUE\tCRASHES\tIN DOUBT\tSUSPICION\tON")
		for _, t := range list {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f%%\t%s\n", t.Task, t.Queue, t.Crashes, t.UnresolvedLosses, float64(t.Suspicion)/milliPerPercent, strings.Join(t.VMs, " "))
		}
	})
}

func listEvacuations(ctx context.Context, c *operator.Client, _ []string) error {
	list, err := c.Evacuations(ctx)
	if err != nil {
		return err
	}
	return show(list, func(w io.Writer) {
		fmt.Fprintln(w, "DOMAIN\tSINCE\tVMS\tRUNS")
		for _, e := range list {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", e.Domain, time.UnixMilli(e.SinceMS).UTC().Format(time.TimeOnly), e.VMs, e.Runs)
		}
	})
}

func evacuateDomain(ctx context.Context, c *operator.Client, args []string) error {
	if err := c.Evacuate(ctx, args[0], endEvacuation); err != nil {
		return err
	}
	fmt.Println("accepted")
	return nil
}

// milliPerPercent is the number of thousandths in a percent.
const milliPerPercent = 10

func clearSuspect(ctx context.Context, c *operator.Client, args []string) error {
	if err := c.ClearSuspect(ctx, args[0]); err != nil {
		return err
	}
	fmt.Println("cleared")
	return nil
}

func showQueueJob(ctx context.Context, c *operator.Client, args []string) error {
	j, err := c.QueueJob(ctx, args[0])
	if err != nil {
		return err
	}
	return show(j, func(w io.Writer) {
		fmt.Fprintf(w, "Job %s of queue %s is %s; its objective is %d ms.\n", j.ID, j.Queue, j.Status, j.ObjectiveMS)
		for _, t := range j.Tasks {
			fmt.Fprintf(w, "%s\t%s\t%d starts, %d failures\n", t.Task, t.State, t.Runs, t.Failures)
		}
		for _, line := range j.Events {
			fmt.Fprintln(w, line)
		}
	})
}

func submitToQueue(ctx context.Context, c *operator.Client, args []string) error {
	b := scheduler.SubmitBody{Host: args[0], Path: args[1]}
	if err := readJSON(args[2], &b.Spec); err != nil {
		return err
	}
	if err := c.SubmitToQueue(ctx, b); err != nil {
		return err
	}
	fmt.Println("accepted")
	if !queueWait {
		return nil
	}
	return awaitJob(ctx, c, path.Base(args[1]))
}

// awaitJob prints a job's progress until it is finished. It fails unless the job is
// completed.
func awaitJob(ctx context.Context, c *operator.Client, id string) error {
	last := ""
	for {
		j, err := c.QueueJob(ctx, id)
		if err != nil {
			return err
		}
		done := 0
		for _, t := range j.Tasks {
			if t.State == "done" {
				done++
			}
		}
		if line := fmt.Sprintf("%s: %d of %d tasks done", j.Status, done, len(j.Tasks)); line != last {
			fmt.Println(line)
			last = line
		}
		switch {
		case j.Status == queue.Completed:
			return nil
		case j.Status.Final():
			return errors.New("the job is " + string(j.Status))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(jobPollInterval):
		}
	}
}

func cancelInQueue(ctx context.Context, c *operator.Client, args []string) error {
	if err := c.CancelInQueue(ctx, scheduler.JobPathBody{Host: args[0], Path: args[1]}); err != nil {
		return err
	}
	fmt.Println("cancelled")
	return nil
}
