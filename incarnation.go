package rudderfork

import (
	"strconv"
	"strings"
)

// An executor keeps its ID when it restarts. An incarnation is one start of an executor. It has no
// runs and no memory of earlier incarnations, its clock and all its counters start anew, and
// messages to an earlier incarnation do not apply to it. Records about an executor are therefore
// keyed by the name of its incarnation, which contains the ID and the start time.

// startMark separates the ID and the start time in the name of an incarnation.
const startMark = "@"

// IncarnationName returns the name of the incarnation of an executor that started at a time, Unix
// ms. The time is 0 for executors that do not report it, and the name is then the ID alone.
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
		return name, 0 // the mark is part of the id
	}
	return name[:i], startMS
}
