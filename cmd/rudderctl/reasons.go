package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/operator"
	"rudderfork.example/rudderfork/timeline"
	"rudderfork.example/rudderfork/wire"
)

var (
	timelineSubject string
	timelineLimit   int
	timelineSince   time.Duration
)

func timelineFlags(f *flag.FlagSet) {
	f.StringVar(&timelineSubject, "subject", "", "part of the name of a request, task, job, VM or cell")
	f.IntVar(&timelineLimit, "limit", 200, "maximum number of events per process, of which the newest are shown; 0 for all")
	f.DurationVar(&timelineSince, "since", time.Hour, "maximum age of the events")
}

var reasonCommands = []*command{
	{name: "explain", usage: "JOB/INDEX | JOB | VM | REQUEST", synopsis: "explain a decision", minArgs: 1, run: explain},
	{name: "trace", usage: "ID [FILE ...]", synopsis: "print the log lines of several processes that contain a job, task or path, sorted by time; reads standard input if no file is given", minArgs: 1, local: true, run: trace},
	{name: "where", usage: "FILE ...", synopsis: "show what the time of jobs was spent on, from the logs of all processes", minArgs: 1, local: true, run: where},
	{name: "timeline", usage: "[flags]", synopsis: "show the events of all processes, merged", flags: timelineFlags, run: showTimeline},
}

// explain prints the explanation of the control processes. If they have none, it prints
// those of the entries, because a request is known only to the entry that handled it.
func explain(ctx context.Context, c *operator.Client, args []string) error {
	e, err := c.Explain(ctx, args[0])
	if err != nil {
		ns, nerr := c.Nodes(ctx)
		if nerr != nil {
			return nerr
		}
		found := false
		for _, n := range ns {
			if n.Kind != wire.KindEntry {
				continue
			}
			if r, rerr := c.ExplainRequest(ctx, n.Admin, args[0]); rerr == nil {
				e.Sentences = append(e.Sentences, r.Sentences...)
				found = true
			}
		}
		if !found {
			return err
		}
	}
	for _, s := range e.Sentences {
		fmt.Println(s)
	}
	return nil
}

// showTimeline prints the events of all reachable processes, merged. Processes that
// can't be reached are reported on standard error.
func showTimeline(ctx context.Context, c *operator.Client, _ []string) error {
	addrs := append([]string(nil), c.Addrs()...)
	ns, err := c.Nodes(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot list entries and agents:", err)
	}
	for _, n := range ns {
		addrs = append(addrs, n.Admin)
	}
	var lists [][]rudderfork.Event
	for _, a := range addrs {
		es, err := c.Timeline(ctx, a, timelineSubject, time.Now().Add(-timelineSince), timelineLimit)
		if err != nil {
			fmt.Fprintf(os.Stderr, "skipping %s: %v\n", a, err)
			continue
		}
		lists = append(lists, es)
	}
	for _, e := range timeline.Merge(lists...) {
		fmt.Println(e)
	}
	return nil
}
