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
// event, and carries the process and its place.
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

func pair(key string) zerolog.Formatter {
	return func(v any) string { return key + "=" + value(v) }
}

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
	// queued is how many lines wait for a reader that is slow; more are dropped
	// and counted. At some 100 bytes a line this is 400 kB.
	queued = 4096
	// dropNotice names the line that says how many were dropped.
	dropNotice = "log_lines_dropped"
)

// flushLimit bounds the end of a process whose lines nobody reads: a part of the
// second that the users' platform leaves after a stop.
const flushLimit = 300 * time.Millisecond

// NewBounded returns a logger of JSON lines that never blocks the process. Each
// event gets a bounded number of lines a second; lines wait in a bounded queue,
// and if w does not keep up the oldest are dropped. Lines then say how many.
// flush writes what waits, for a while; it is called at the end.
func NewBounded(w io.Writer, process string, p rudderfork.Place) (log zerolog.Logger, flush func()) {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	zerolog.MessageFieldName = "event"
	direct := zerolog.New(w).With().Timestamp().Str("process", process).Logger()
	dw := diode.NewWriter(w, queued, 0, func(missed int) {
		direct.Warn().Int("lines", missed).Msg(dropNotice)
	})
	plain := zerolog.New(dw).Level(zerolog.InfoLevel).With().Timestamp().Str("process", process).Str("domain", string(p.Domain)).Logger()
	return plain.Hook(newLimiter(plain, time.Now)), func() { closeWithin(dw, flushLimit) }
}

// closeWithin closes c but waits no longer than the limit: there is nobody left
// to tell if it fails.
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
