// Package logging sets up zerolog to write one key=value line for each event.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

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
