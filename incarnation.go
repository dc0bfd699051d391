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
func IncarnationName(id string, bornMS int64) string {
	if bornMS == 0 {
		return id
	}
	return id + startMark + strconv.FormatInt(bornMS, 10)
}

// SplitIncarnation is the inverse of IncarnationName.
func SplitIncarnation(life string) (id string, bornMS int64) {
	i := strings.LastIndex(life, startMark)
	if i < 0 {
		return life, 0
	}
	bornMS, err := strconv.ParseInt(life[i+len(startMark):], 10, 64)
	if err != nil || bornMS == 0 {
		return life, 0 // the mark is part of the id
	}
	return life[:i], bornMS
}
