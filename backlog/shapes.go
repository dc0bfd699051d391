package backlog

import (
	"slices"

	"rudderfork.example/rudderfork"
)

// maxCapacities bounds Capacities, and so the cost of a submission.
const maxCapacities = 64

// Capacities holds the largest of a set of capacities: none fits into another. If there are more than
// maxCapacities of these, any task counts as fitting.
type Capacities []rudderfork.Resources

// Add adds a capacity.
func (c *Capacities) Add(capacity rudderfork.Resources) {
	if len(*c) > maxCapacities || slices.ContainsFunc(*c, capacity.Fits) {
		return
	}
	*c = append(slices.DeleteFunc(*c, func(old rudderfork.Resources) bool { return old.Fits(capacity) }), capacity)
}

// Hold reports whether a task fits into one of the capacities.
func (c *Capacities) Hold(need rudderfork.Resources) bool {
	return len(*c) > maxCapacities || slices.ContainsFunc(*c, need.Fits)
}

// Shapes holds the capacities of the known VMs, by service and label.
type Shapes struct {
	byClass map[vmClass]*Capacities
}

// vmClass is the VMs of a service that carry a label. All carry the label "".
type vmClass struct {
	service rudderfork.Service
	label   string
}

// NewShapes returns the shapes of no VMs.
func NewShapes() *Shapes { return &Shapes{byClass: map[vmClass]*Capacities{}} }

// Add adds a VM.
func (s *Shapes) Add(service rudderfork.Service, labels []string, capacity rudderfork.Resources) {
	s.add(vmClass{service, ""}, capacity)
	for _, l := range labels {
		s.add(vmClass{service, l}, capacity)
	}
}

func (s *Shapes) add(class vmClass, capacity rudderfork.Resources) {
	c := s.byClass[class]
	if c == nil {
		c = &Capacities{}
		s.byClass[class] = c
	}
	c.Add(capacity)
}

// CanHold reports whether a known VM of a service that carries a label could hold a task if it had no
// others. If no VM of the service is known, all tasks count as fitting.
func (s *Shapes) CanHold(service rudderfork.Service, label string, need rudderfork.Resources) bool {
	if s.byClass[vmClass{service, ""}] == nil {
		return true
	}
	c := s.byClass[vmClass{service, label}]
	return c != nil && c.Hold(need)
}
