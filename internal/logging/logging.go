// Package logging sets up zerolog to write one key=value line for each event.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"rudderfork.example/rudderfork"
)

// New returns a logger for a process. Each line starts with time, level and
// event, and has the process, its VM and its failure domain.
func New(w io.Writer, process string, p rudderfork.Place) zerolog.Logger {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000000Z07:00"
	cw := zerolog.ConsoleWriter{
		Out: w, NoColor: true,
		PartsOrder:       []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp:  pair("time"),
		FormatLevel:      pair("level"),
		FormatMessage:    pair("event"),
		FormatFieldValue: value,
	}
	return zerolog.New(cw).With().Timestamp().
		Str("process", process).Str("vm", string(p.VM)).Str("domain", string(p.Domain)).Logger()
}

// pair returns a formatter that writes key=value.
func pair(key string) zerolog.Formatter {
	return func(v any) string { return key + "=" + value(v) }
}

// value formats a field's value. It quotes a text that is empty or contains a space, a
// quote, an equals sign or a newline, unless it begins with a quote, as zerolog has then
// quoted it already.
func value(v any) string {
	s := fmt.Sprint(v)
	if b, ok := v.([]byte); ok {
		s = string(b)
	}
	if s == "" || strings.ContainsAny(s, " \"=\n") && !strings.HasPrefix(s, `"`) {
		return strconv.Quote(s)
	}
	return s
}

const (
	// queueLines is the most lines that wait for a slow reader; beyond it lines are dropped
	// and counted. At about 100 bytes a line this is 400 kB.
	queueLines = 4096
	// dropNotice is the event that reports how many lines were dropped.
	dropNotice = "log_lines_dropped"
)

// flushLimit bounds the time to write queued lines at the end of a process, in case
// nobody reads them. It is part of the last second before the platform kills a stopping
// process, which the shutdown leaves unused.
const flushLimit = 300 * time.Millisecond

// NewBounded returns a logger of JSON lines that never blocks the process. The lines of
// each event are limited to linesPerSecond. Lines wait in a queue of queueLines, and if w
// does not keep up, the oldest are dropped. Both are reported with the number of missing
// lines. flush writes the queued lines, within flushLimit; call it when the process ends.
func NewBounded(w io.Writer, process string, p rudderfork.Place) (log zerolog.Logger, flush func()) {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	zerolog.MessageFieldName = "event"
	direct := zerolog.New(w).With().Timestamp().Str("process", process).Logger()
	dw := diode.NewWriter(w, queueLines, 0, func(missed int) {
		direct.Warn().Int("lines", missed).Msg(dropNotice)
	})
	plain := zerolog.New(dw).Level(zerolog.InfoLevel).With().Timestamp().Str("process", process).Str("domain", string(p.Domain)).Logger()
	return plain.Hook(newLimiter(plain, time.Now)), func() { closeWithin(dw, flushLimit) }
}

// closeWithin closes c but waits no longer than limit. The error of Close is dropped: the
// process ends, and it could only be reported to the log that has failed.
func closeWithin(c io.Closer, limit time.Duration) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = c.Close()
	}()
	select {
	case <-closed:
	case <-time.After(limit):
	}
}
