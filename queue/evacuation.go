package queue

import (
	"maps"
	"slices"

	"rudderfork.example/rudderfork"
)

// Evacuation is an operator's order that nothing more is started on the VMs of a failure
// domain, until it is taken back. What runs there may run on.
type Evacuation struct {
	Domain  rudderfork.Domain `cbor:"1,keyasint" json:"domain"`
	SinceMS int64             `cbor:"2,keyasint" json:"since_ms"` // proposer's clock, Unix ms
}

// Evacuate orders the evacuation of a failure domain, or takes it back.
type Evacuate struct {
	Domain rudderfork.Domain `cbor:"1,keyasint"`
	End    bool              `cbor:"2,keyasint,omitempty"`
}

// Evacuating reports whether nothing more is to be started in a failure domain.
func (s *State) Evacuating(d rudderfork.Domain) bool {
	_, ordered := s.evacuations[d]
	return ordered
}

// Evacuations returns the orders that hold, by the names of the failure domains.
func (s *State) Evacuations() (list []Evacuation) {
	for _, d := range slices.Sorted(maps.Keys(s.evacuations)) {
		list = append(list, s.evacuations[d])
	}
	return list
}

// evacuate takes an order or takes it back. One that is repeated changes nothing, so
// that it is known since when it holds.
func (s *State) evacuate(c Evacuate, at int64) Result {
	switch {
	case c.Domain == "":
		return Result{Code: Invalid, Text: "the failure domain has no name"}
	case c.End:
		delete(s.evacuations, c.Domain)
	case !s.Evacuating(c.Domain):
		s.evacuations[c.Domain] = Evacuation{c.Domain, at}
	}
	return Result{Code: OK}
}
