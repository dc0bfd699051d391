package queue

import (
	"maps"
	"slices"

	"rudderfork.example/rudderfork"
)

// Evacuation is an operator's order to start nothing on the VMs of a failure domain until the order
// is revoked. Active runs may go on.
type Evacuation struct {
	Domain  rudderfork.Domain `cbor:"1,keyasint" json:"domain"`
	SinceMS int64             `cbor:"2,keyasint" json:"since_ms"` // proposer's clock, Unix ms
}

// Evacuate orders the evacuation of a failure domain, or revokes it if End is set.
type Evacuate struct {
	Domain rudderfork.Domain `cbor:"1,keyasint"`
	End    bool              `cbor:"2,keyasint,omitempty"`
}

// Evacuating reports whether a failure domain is being evacuated.
func (s *State) Evacuating(d rudderfork.Domain) bool {
	_, ordered := s.evacuations[d]
	return ordered
}

// Evacuations returns the orders that are not revoked, sorted by failure domain.
func (s *State) Evacuations() (list []Evacuation) {
	for _, d := range slices.Sorted(maps.Keys(s.evacuations)) {
		list = append(list, s.evacuations[d])
	}
	return list
}

// evacuate applies or revokes an order. A repeated order keeps the time of the first one.
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
