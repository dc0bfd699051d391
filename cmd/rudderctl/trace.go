package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"rudderfork.example/rudderfork/operator"
)

// logLine is a parsed line of a process's log.
type logLine struct {
	at      time.Time
	process string
	event   string
	fields  map[string]any
}

// hiddenFields are left out of the list of fields: they are printed elsewhere in the
// line, or don't help to follow a job.
var hiddenFields = []string{"time", "process", "event", "level", "domain"}

// trace prints the log lines of several processes that contain an id of a job or task
// or a path, sorted by time. It reads the files given, or else standard input.
func trace(_ context.Context, _ *operator.Client, args []string) error {
	var lines []logLine
	read := func(_ string, r io.Reader) (err error) {
		lines, err = appendLines(lines, r, args[0])
		return err
	}
	err := readFiles(args[1:], read)
	if len(args) == 1 {
		err = read("", os.Stdin)
	}
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line contains %s", args[0])
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		fmt.Println(l.text(lines[0].at))
	}
	return nil
}

// appendLines appends the lines of r that contain id. Lines without a JSON object are
// skipped.
func appendLines(lines []logLine, r io.Reader, id string) ([]logLine, error) {
	err := eachObject(r, func(_ int, line, object string) {
		if !strings.Contains(line, id) {
			return
		}
		fields := map[string]any{}
		d := json.NewDecoder(strings.NewReader(object))
		d.UseNumber()
		if d.Decode(&fields) == nil {
			lines = append(lines, newLogLine(fields))
		}
	})
	return lines, err
}

func newLogLine(fields map[string]any) logLine {
	l := logLine{fields: fields}
	l.process, _ = fields["process"].(string)
	l.event, _ = fields["event"].(string)
	if n, ok := fields["time"].(json.Number); ok {
		if us, err := n.Int64(); err == nil {
			l.at = time.UnixMicro(us)
		}
	}
	return l
}

// text formats the line, with its time since first in seconds.
func (l logLine) text(first time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f s  %-20s %s", l.at.Sub(first).Seconds(), l.process, l.event)
	for _, k := range slices.SortedFunc(maps.Keys(l.fields), cmp.Compare[string]) {
		if v := l.fields[k]; !slices.Contains(hiddenFields, k) && v != "" {
			fmt.Fprintf(&b, " %s=%v", k, v)
		}
	}
	return b.String()
}
