package main

import (
	"bufio"
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

	"rudderfork.example/rudderfork/jobtime"
	"rudderfork.example/rudderfork/operator"
)

// eventLine is what jobtime needs of a log line.
type eventLine struct {
	Event   string `json:"event"`
	TimeUS  int64  `json:"time"` // Unix µs
	Task    string `json:"task"`
	Run     uint64 `json:"run"`
	How     string `json:"how"`
	Reason  string `json:"reason"`
	Percent int    `json:"percent"`
	Ask     string `json:"ask"`
	Path    string `json:"path"`
	Result  string `json:"result"`
}

// eventKinds maps the events of logs to those of jobtime.
var eventKinds = map[string]jobtime.Kind{
	"task_placed": jobtime.Placed, "task_ended": jobtime.Ended, "task_stopping": jobtime.Stopping, "filler_paced": jobtime.PacedTo,
}

// of returns the line as an event; ok is false for lines that tell nothing of jobs.
func (l eventLine) of() (e jobtime.Event, ok bool) {
	e = jobtime.Event{
		Kind: eventKinds[l.Event], At: time.UnixMicro(l.TimeUS), Task: l.Task, Run: l.Run, How: l.How, Reason: l.Reason, Percent: l.Percent,
	}
	if l.Event == "ask_answered" && l.Ask == "submit" && l.Result == "ok" {
		e.Kind, e.Job = jobtime.Submitted, l.Path[strings.LastIndexByte(l.Path, '/')+1:]
		return e, e.Job != ""
	}
	return e, e.Kind != "" && e.Task != ""
}

// where prints what the time of jobs was spent on, from the logs of all processes.
// Lines that cannot be read are told on standard error, with file and line.
func where(_ context.Context, _ *operator.Client, args []string) error {
	log := jobtime.New()
	for _, file := range args {
		f, err := os.Open(file)
		if err != nil {
			return err
		}
		err = readEvents(log, f, func(line int, err error) { fmt.Fprintf(os.Stderr, "%s:%d: %v\n", file, line, err) })
		_ = f.Close() // it was only read
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	jobs := log.Jobs()
	if len(jobs) == 0 {
		return errors.New("the logs hold no job that was submitted and has ended")
	}
	return printWhere(os.Stdout, jobs)
}

// readEvents adds the events of a log. What stands before the first brace of a line
// is passed over, and so are lines without one.
func readEvents(log *jobtime.Log, r io.Reader, bad func(line int, err error)) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for n := 1; sc.Scan(); n++ {
		text := sc.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l eventLine
		if err := json.Unmarshal([]byte(text[start:]), &l); err != nil {
			bad(n, fmt.Errorf("not a line of ours, or cut short: %w", err))
			continue
		}
		if e, ok := l.of(); ok {
			log.Add(e)
		}
	}
	return sc.Err()
}

// printWhere prints the parts of the jobs' time, the largest first.
func printWhere(w io.Writer, jobs []jobtime.Job) error {
	sums, touched := map[jobtime.Part]time.Duration{}, map[jobtime.Part]int{}
	all := time.Duration(0)
	for _, j := range jobs {
		all += j.Took
		for p, d := range j.Parts {
			if d > 0 {
				sums[p] += d
				touched[p]++
			}
		}
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "seconds\tpart\tjobs\tspent\n")
	byTime := func(a, b jobtime.Part) int { return cmp.Or(cmp.Compare(sums[b], sums[a]), cmp.Compare(a, b)) }
	for _, p := range slices.SortedFunc(maps.Keys(sums), byTime) {
		fmt.Fprintf(tw, "%.1f\t%.1f%%\t%d\t%s\n", sums[p].Seconds(), 100*float64(sums[p])/float64(max(1, all)), touched[p], p)
	}
	fmt.Fprintf(tw, "%.1f\t100%%\t%d\tin all\n", all.Seconds(), len(jobs))
	return tw.Flush()
}
