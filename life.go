package rudderfork

import (
	"strconv"
	"strings"
)

// An executor answers under an id, which it may have again after a crash. A life is one
// start of it: it runs nothing and knows nothing of what was before, its clock and all
// that it counts start anew, and what was said to an earlier one says nothing to it. So
// whatever is kept of an executor is kept by the name of its life, which holds the id
// and when the start began.

// startMark is between id and begin in a life's name.
const startMark = "@"

// IncarnationName names the start of an executor that began at a time, Unix ms. Of executors
// that do not tell (0) the id alone is the name.
func IncarnationName(id string, bornMS int64) string {
	if bornMS == 0 {
		return id
	}
	return id + startMark + strconv.FormatInt(bornMS, 10)
}

// SplitIncarnation is the inverse of LifeName.
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
