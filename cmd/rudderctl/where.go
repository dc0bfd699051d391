package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/jobtime"
	"rudderfork.example/rudderfork/operator"
	"rudderfork.example/rudderfork/queue"
)

// eventLine has the fields of a log line that jobtime needs.
type eventLine struct {
	Event   string `json:"event"`
	TimeUS  int64  `json:"time"` // Unix µs
	Task    string `json:"task"`
	Run     uint32 `json:"run"`
	Outcome string `json:"how"` // of the run
	Reason  string `json:"reason"`
	Percent int    `json:"percent"` // pace of a filler
	Request string `json:"ask"`     // kind of a client's request, such as "submit"
	Path    string `json:"path"`    // of the request
	Result  string `json:"result"`  // of the request; "ok" if it was accepted
}

// eventKinds maps log events to the kinds of jobtime.
var eventKinds = map[string]jobtime.Kind{
	"task_placed": jobtime.Placed, "task_ended": jobtime.Ended, "task_stopping": jobtime.Stopping, "filler_paced": jobtime.PaceChanged,
}

// event converts the line to an event of jobtime; ok is false if it isn't about a job.
func (l eventLine) event() (e jobtime.Event, ok bool) {
	e = jobtime.Event{
		Kind: eventKinds[l.Event], At: time.UnixMicro(l.TimeUS), Run: l.Run, Outcome: queue.Outcome(l.Outcome), Reason: l.Reason, Percent: l.Percent,
	}
	if l.Event == "ask_answered" && l.Request == "submit" && l.Result == "ok" {
		e.Kind, e.Job = jobtime.Submitted, rudderfork.JobID(l.Path[strings.LastIndexByte(l.Path, '/')+1:])
		return e, e.Job != ""
	}
	var err error
	e.Task, err = queue.ParseTaskKey(l.Task)
	return e, e.Kind != "" && err == nil
}

// where prints what the time of jobs was spent on, from the logs of all processes.
// Lines that can't be parsed are reported on standard error, with file and line.
func where(_ context.Context, _ *operator.Client, args []string) error {
	log := jobtime.New()
	err := readFiles(args, func(file string, r io.Reader) error {
		return readEvents(log, r, func(line int, err error) { fmt.Fprintf(os.Stderr, "%s:%d: %v\n", file, line, err) })
	})
	if err != nil {
		return err
	}
	jobs := log.Jobs()
	if len(jobs) == 0 {
		return errors.New("the logs contain no job that was submitted and has ended")
	}
	return printParts(os.Stdout, jobs)
}

// readEvents adds the events of a log. It calls onError with each line that can't be
// parsed, numbered from 1.
func readEvents(log *jobtime.Log, r io.Reader, onError func(line int, err error)) error {
	return eachObject(r, func(n int, _, object string) {
		var l eventLine
		if err := json.Unmarshal([]byte(object), &l); err != nil {
			onError(n, fmt.Errorf("not a log line of rudderfork, or truncated: %w", err))
			return
		}
		if e, ok := l.event(); ok {
			log.Add(e)
		}
	})
}

// printParts prints how much time the jobs spent in each part, the largest first.
func printParts(w io.Writer, jobs []jobtime.Job) error {
	sums, jobCounts := map[jobtime.Part]time.Duration{}, map[jobtime.Part]int{}
	total := time.Duration(0)
	for _, j := range jobs {
		total += j.Took
		for p, d := range j.Parts {
			if d > 0 {
				sums[p] += d
				jobCounts[p]++
			}
		}
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "seconds\tpart\tjobs\tspent\n")
	byTime := func(a, b jobtime.Part) int { return cmp.Or(cmp.Compare(sums[b], sums[a]), cmp.Compare(a, b)) }
	for _, p := range slices.SortedFunc(maps.Keys(sums), byTime) {
		fmt.Fprintf(tw, "%.1f\t%.1f%%\t%d\t%s\n", sums[p].Seconds(), 100*float64(sums[p])/float64(max(1, total)), jobCounts[p], p)
	}
	fmt.Fprintf(tw, "%.1f\t100%%\t%d\tin all\n", total.Seconds(), len(jobs))
	return tw.Flush()
}
