package queue

// Executors do not all crash as often as one another: most hardly ever do, and one that
// has just crashed by itself may well go on so, every second or two. A crash there says
// less of what ran than one where none was seen for long. This file keeps, for each VM,
// how often its executor has crashed lately that no task is to blame for.
const (
	// crashHalfLifeMS is how long it takes until a crash counts half, ms.
	crashHalfLifeMS = 10_000
	// crashWindowMS is over how long crashes are counted on the whole, ms: the mean age of
	// what halves every crashHalfMS.
	crashWindowMS = 14_400
	// crashPriorMilli is how many crashes, in thousandths, the rate over all VMs counts as
	// beside a VM's own: little, since the rates of VMs lie far apart.
	crashPriorMilli = 50
)

// CrashHistory is how often a VM's executor has crashed lately, as far as no task was the
// likely cause. Its times are of the state's clock, ms.
type CrashHistory struct {
	CrashesMilli int64 `cbor:"1,keyasint,omitempty"` // crashes in thousandths, as they counted at AtMS
	NewestMS     int64 `cbor:"2,keyasint,omitempty"` // of the newest
	SinceMS      int64 `cbor:"3,keyasint,omitempty"` // of the first one that counts
}

// crashesMilli returns how many crashes count now, in thousandths.
func (h *CrashHistory) crashesMilli(nowMS int64) int64 {
	age := max(0, nowMS-h.NewestMS)
	halves := age / crashHalfLifeMS
	if h.CrashesMilli == 0 || halves > 10 {
		return 0
	}
	left := h.CrashesMilli >> halves
	return left - left/2*(age%crashHalfLifeMS)/crashHalfLifeMS
}

// addCrash counts a crash that no task caused, with a probability in thousandths.
func (h *CrashHistory) addCrash(mille, nowMS int64) {
	left := h.crashesMilli(nowMS)
	if left < crashPriorMilli {
		left, h.SinceMS = 0, nowMS
	}
	h.CrashesMilli, h.NewestMS = left+mille, nowMS
}

// weight is the rate at which the executor crashes, in weightScale, where base is that of
// all VMs.
func (h *CrashHistory) weight(base, nowMS int64) int64 {
	mille := h.crashesMilli(nowMS)
	if mille == 0 {
		return base
	}
	watched := min(crashWindowMS, max(0, nowMS-h.SinceMS))
	const unit = weightScale / 1000
	return max(base, (crashPriorMilli+mille)*unit/max(1, crashPriorMilli*unit/base+watched))
}
