package main

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/operator"
)

var (
	spec      rudderfork.JobSpec
	specTeam  string
	specCells string
)

func submitFlags(f *flag.FlagSet) {
	f.StringVar(&specTeam, "team", "default", "team whose quota applies")
	f.StringVar(&spec.Kind, "kind", "batch", "kind of work; how much it slows services is learned per kind")
	f.IntVar(&spec.Tasks, "tasks", 1, "number of tasks")
	f.Int64Var(&spec.Units, "units", 1, "units of work in each task")
	f.IntVar(&spec.Attempts, "attempts", 0, "number of failures allowed per task; 0 for the default")
	f.StringVar(&specCells, "cells", "", "cells of the job's row: COLUMN=NUMBER,...")
}

var jobCommands = []*command{
	{name: "submit", usage: "[flags] JOB", synopsis: "submit a batch job; submitting it again with the same flags has no effect", minArgs: 1, flags: submitFlags, run: submitJob},
	{name: "cancel", usage: "JOB", synopsis: "cancel a job", minArgs: 1, run: cancelJob},
	{name: "jobs", synopsis: "list the jobs", run: listJobs},
	{name: "job", usage: "JOB", synopsis: "show a job with its tasks", minArgs: 1, run: showJob},
}

func submitJob(ctx context.Context, c *operator.Client, args []string) error {
	spec.ID, spec.Team = rudderfork.JobID(args[0]), rudderfork.Team(specTeam)
	spec.Cells = map[string]int64{}
	for pair := range strings.SplitSeq(specCells, ",") {
		if pair == "" {
			continue
		}
		col, val, _ := strings.Cut(pair, "=")
		n, err := strconv.ParseInt(val, 10, 64)
		if err != nil {
			return fmt.Errorf("-cells %q: want COLUMN=NUMBER", pair)
		}
		spec.Cells[col] = n
	}
	res, err := c.Submit(ctx, spec)
	if err != nil {
		return err
	}
	fmt.Printf("accepted at revision %d\n", res.Revision)
	return nil
}

func cancelJob(ctx context.Context, c *operator.Client, args []string) error {
	if err := c.Cancel(ctx, rudderfork.JobID(args[0])); err != nil {
		return err
	}
	fmt.Println("cancelled")
	return nil
}

func listJobs(ctx context.Context, c *operator.Client, _ []string) error {
	js, err := c.Jobs(ctx)
	if err != nil {
		return err
	}
	w := newTable("JOB\tTEAM\tKIND\tTASKS\tPENDING\tRUNNING\tDONE\tFAILED\tNOTE")
	for _, j := range js {
		note := j.Blocked
		if j.Cancelled {
			note = "cancelled"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", j.ID, j.Team, j.Kind, j.Tasks, j.Pending, j.Running, j.Done, j.Failed, note)
	}
	return w.Flush()
}

func showJob(ctx context.Context, c *operator.Client, args []string) error {
	j, err := c.Job(ctx, rudderfork.JobID(args[0]))
	if err != nil {
		return err
	}
	fmt.Printf("%s of team %s: %d done, %d failed, %d running, %d pending %s\n", j.ID, j.Team, j.Done, j.Failed, j.Running, j.Pending, j.Blocked)
	w := newTable("TASK\tPHASE\tVM\tTOKEN\tSAVED\tEVICTIONS\tFAILURES")
	for _, t := range j.TaskList {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", t.ID, t.Phase, t.VM, t.Token, t.Checkpoint, t.Evictions, t.Failures)
	}
	return w.Flush()
}
