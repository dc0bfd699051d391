package queue

// Spontaneous crash rates differ between executors: most hardly ever crash, and one that has just
// crashed by itself may go on crashing every second or two. A crash of such an executor is weaker
// evidence against the tasks that ran on it. This file tracks, for each VM, the recent rate of
// crashes that no task caused.
const (
	// crashHalfLifeMS is the time after which the weight of a crash has halved, ms.
	crashHalfLifeMS = 10_000
	// crashWindowMS is the mean lifetime of a count that halves every crashHalfLifeMS, ms. The rate
	// is the count divided by the time since its oldest crash, or by this if it is shorter.
	crashWindowMS = 14_400
	// crashPriorMilli is the weight of the rate over all VMs in the rate of one VM, in thousandths
	// of a crash. It is low because the rates of VMs differ widely. A count of crashes that has
	// decayed below it is dropped at the next crash.
	crashPriorMilli = 50
)

// CrashHistory is the recent record of an executor's spontaneous crashes. Times are by the state
// clock, ms.
type CrashHistory struct {
	CrashesMilli int64 `cbor:"1,keyasint,omitempty"` // decayed number of spontaneous crashes at NewestMS, in thousandths
	NewestMS     int64 `cbor:"2,keyasint,omitempty"` // time of the newest crash
	SinceMS      int64 `cbor:"3,keyasint,omitempty"` // time of the oldest crash in CrashesMilli
}

// crashesMilli returns the number of crashes, decayed until nowMS, in thousandths.
func (h *CrashHistory) crashesMilli(nowMS int64) int64 {
	age := max(0, nowMS-h.NewestMS)
	halves := age / crashHalfLifeMS
	if h.CrashesMilli == 0 || halves > 10 {
		return 0
	}
	left := h.CrashesMilli >> halves
	return left - left/2*(age%crashHalfLifeMS)/crashHalfLifeMS
}

// addCrash records a crash that was spontaneous with a probability of milli thousandths.
func (h *CrashHistory) addCrash(milli, nowMS int64) {
	left := h.crashesMilli(nowMS)
	if left < crashPriorMilli {
		left, h.SinceMS = 0, nowMS
	}
	h.CrashesMilli, h.NewestMS = left+milli, nowMS
}

// weight returns the rate of spontaneous crashes of the executor, in units of 1/weightScale per ms.
// base is the rate over all VMs.
func (h *CrashHistory) weight(base, nowMS int64) int64 {
	milli := h.crashesMilli(nowMS)
	if milli == 0 {
		return base
	}
	watched := min(crashWindowMS, max(0, nowMS-h.SinceMS))
	const unit = weightScale / 1000
	return max(base, (crashPriorMilli+milli)*unit/max(1, crashPriorMilli*unit/base+watched))
}
