// Package pace decides how fast the fillers of one VM work beside its serving
// tasks.
//
// Fillers disturb serving tasks, by amounts that differ by image and change
// within seconds. A Controller keeps one share of full speed for all fillers of
// the VM: it falls at once when the worst serving task nears its objective, and
// rises slowly while all of them are well below. (Additive increase and
// multiplicative decrease, after Chiu and Jain 1989; the marks with a gap
// between them after Heracles, ISCA 2015.)
package pace

import "time"

const (
	// full is an unhindered filler's share, in percent.
	full = 100
	// firstShare is where fillers begin beside a serving task that is not known
	// to be disturbed: a guess that leaves room both ways.
	firstShare = 40
	// stopAt, cutAt and riseBelow are the worst tail over its objective at which
	// fillers stop, are halved, and may rise. An objective missed for seconds
	// costs far more than a paced filler earns.
	stopAt    = 1.0
	cutAt     = 0.85
	riseBelow = 0.70
	// riseStep is added at each rise, in percent, and risePause is between two:
	// the executor's figure covers the last half second.
	riseStep  = 10
	risePause = 500 * time.Millisecond
	// cutPause is between two cuts, for the same reason.
	cutPause = 400 * time.Millisecond
)

// Controller holds the share of one VM's fillers. It is not safe for concurrent
// use.
type Controller struct {
	share  float64
	riseAt time.Time
	cutAt  time.Time
	alone  bool // no serving task was there at the last step
}

// New returns a controller of a VM without serving tasks.
func New() *Controller { return &Controller{share: full, alone: true} }

// Step takes the worst tail of the serving tasks over its objective; ok is
// false if there is no serving task. It returns the share of the fillers.
func (c *Controller) Step(worst float64, ok bool, now time.Time) (percent int) {
	switch {
	case !ok:
		c.share, c.alone = full, true
	case c.alone:
		c.alone = false
		c.share = firstShare
		c.riseAt = now.Add(risePause)
	case worst >= stopAt:
		c.share = 0
		c.riseAt = now.Add(2 * risePause)
	case worst >= cutAt && !now.Before(c.cutAt):
		c.share /= 2
		c.cutAt, c.riseAt = now.Add(cutPause), now.Add(2*risePause)
	case worst < riseBelow && !now.Before(c.riseAt):
		c.share = min(full, c.share+riseStep)
		c.riseAt = now.Add(risePause)
	}
	return int(c.share)
}
