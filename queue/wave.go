package queue

import "slices"

// Wave is an operator's order for the upkeep of a list of the provider's machines, at most MaxDown
// of them at once. Upkeep ends everything that runs on a machine.
type Wave struct {
	ID       uint64   `cbor:"1,keyasint" json:"wave"`
	Machines []string `cbor:"2,keyasint" json:"machines"` // the provider's names
	DueMS    int64    `cbor:"3,keyasint" json:"due"`      // Unix ms
	MaxDown  int      `cbor:"4,keyasint" json:"max_down"`

	// Begun lists the machines whose upkeep is known to have begun, and Gone those that the provider
	// no longer knows.
	Begun []string `cbor:"5,keyasint,omitempty" json:"begun,omitempty"`
	Gone  []string `cbor:"6,keyasint,omitempty" json:"gone,omitempty"`
}

// maxWaves bounds the number of waves kept.
const maxWaves = 1000

// UpkeepReport reports that a machine's upkeep in a wave has begun, or that the provider no longer
// knows the machine.
type UpkeepReport struct {
	Wave        uint64 `cbor:"1,keyasint"`
	Machine     string `cbor:"2,keyasint"`
	Gone        bool   `cbor:"3,keyasint,omitempty"`
	Incarnation string `cbor:"4,keyasint,omitempty"` // of the executor on the machine; "" if unknown
}

// Remaining returns the machines whose upkeep has not begun.
func (w *Wave) Remaining() (left []string) {
	for _, m := range w.Machines {
		if !slices.Contains(w.Begun, m) && !slices.Contains(w.Gone, m) {
			left = append(left, m)
		}
	}
	return left
}

// Wave returns a wave, or nil.
func (s *State) Wave(id uint64) *Wave {
	for _, w := range s.waves {
		if w.ID == id {
			return w
		}
	}
	return nil
}

// Waves returns the waves that have remaining machines, oldest first.
func (s *State) Waves() (open []*Wave) {
	for _, w := range s.waves {
		if len(w.Remaining()) > 0 {
			open = append(open, w)
		}
	}
	return open
}

func (s *State) acceptWave(w Wave) Result {
	if w.MaxDown < 1 || len(w.Machines) == 0 {
		return Result{Code: Invalid, Text: "a wave needs machines, and room for one of them to be down"}
	}
	if s.Wave(w.ID) != nil {
		return Result{Code: OK, Text: "taken before"}
	}
	if len(s.waves) >= maxWaves {
		s.waves = s.waves[1:]
	}
	w.Begun, w.Gone = nil, nil
	s.waves = append(s.waves, &w)
	return Result{Code: OK}
}

func (s *State) recordUpkeep(r UpkeepReport) Result {
	if !r.Gone {
		s.markLeaving(r.Incarnation)
	}
	w := s.Wave(r.Wave)
	if w == nil || !slices.Contains(w.Remaining(), r.Machine) {
		return Result{Code: Stale}
	}
	if r.Gone {
		w.Gone = append(w.Gone, r.Machine)
	} else {
		w.Begun = append(w.Begun, r.Machine)
	}
	return Result{Code: OK}
}
