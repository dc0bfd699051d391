package rudderfork

import (
	"strconv"
	"strings"
)

// An incarnation is one start of an executor, which keeps its ID when it restarts. A new incarnation
// has no runs and no state of earlier ones, its clock and all its counters are reset, and messages
// to an earlier incarnation do not apply to it. Records about an executor are therefore keyed by the
// name of its incarnation, which contains the ID and the start time.

// startMark separates the ID and the start time in the name of an incarnation.
const startMark = "@"

// IncarnationName returns the name of the incarnation of an executor that started at startMS, in
// Unix ms. If the executor does not report its start time, startMS is 0 and the name is the ID alone.
func IncarnationName(id string, startMS int64) string {
	if startMS == 0 {
		return id
	}
	return id + startMark + strconv.FormatInt(startMS, 10)
}

// SplitIncarnation is the inverse of IncarnationName.
func SplitIncarnation(name string) (id string, startMS int64) {
	i := strings.LastIndex(name, startMark)
	if i < 0 {
		return name, 0
	}
	startMS, err := strconv.ParseInt(name[i+len(startMark):], 10, 64)
	if err != nil || startMS == 0 {
		return name, 0 // startMark is part of the ID
	}
	return name[:i], startMS
}
