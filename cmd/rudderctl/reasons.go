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
	f.StringVar(&timelineSubject, "subject", "", "part of a request, task, job, VM or cell")
	f.IntVar(&timelineLimit, "limit", 200, "newest events of each process")
	f.DurationVar(&timelineSince, "since", time.Hour, "how far back")
}

var reasonCommands = []*command{
	{name: "explain", usage: "JOB/INDEX | JOB | VM | REQUEST", synopsis: "say why a decision was made", args: 1, do: explain},
	{name: "trace", usage: "ID [FILE ...]", synopsis: "join the log lines of several processes that name a job, task or path, in order of time; reads standard input without files", args: 1, local: true, do: trace},
	{name: "where", usage: "FILE ...", synopsis: "tell from the logs of all processes where the time of jobs went", args: 1, local: true, do: where},
	{name: "timeline", usage: "[flags]", synopsis: "show the events of all processes in one order", flags: timelineFlags, do: showTimeline},
}

// explain asks control, and every entry for what control does not know.
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

// showTimeline merges the events of all processes that can be reached.
func showTimeline(ctx context.Context, c *operator.Client, _ []string) error {
	addrs := append([]string(nil), c.Addrs()...)
	ns, err := c.Nodes(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "no list of entries and agents:", err)
	}
	for _, n := range ns {
		addrs = append(addrs, n.Admin)
	}
	var lists [][]rudderfork.Event
	for _, a := range addrs {
		es, err := c.Timeline(ctx, a, timelineSubject, time.Now().Add(-timelineSince), timelineLimit)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s is left out: %v\n", a, err)
			continue
		}
		lists = append(lists, es)
	}
	for _, e := range timeline.Merge(lists...) {
		fmt.Println(e)
	}
	return nil
}
