package dispatch

import "math"

// maxImages bounds the number of image names kept. A planner that has more resets its
// cache, so that names that are no longer used do not take memory forever.
const maxImages = 1_024

// images assigns numbers to the names of images (queue.Step.Image), so that values by pair
// of images can be indexed instead of hashed by name.
type images struct {
	numbers map[string]int
	names   []string
}

func newImages() images { return images{numbers: map[string]int{}} }

// number returns the number of an image.
func (m *images) number(name string) int {
	n, known := m.numbers[name]
	if !known {
		n = len(m.names)
		m.numbers[name] = n
		m.names = append(m.names, name)
	}
	return n
}

func (m *images) tooMany() bool { return len(m.names) > maxImages }

// pressure returns View.Pressure of a pair of images given by their numbers, and caches it
// for the plan.
func (p *pass) pressure(serving, filler int) float64 {
	for len(p.pressures) <= serving {
		p.pressures = append(p.pressures, nil)
	}
	row := p.pressures[serving]
	if len(row) <= filler {
		row = append(row, unknowns(len(p.images.names)-len(row))...)
		p.pressures[serving] = row
	}
	if math.IsNaN(row[filler]) {
		row[filler] = p.view.Pressure(p.images.names[serving], p.images.names[filler])
	}
	return row[filler]
}

// unknowns returns n NaNs, which stand for values not computed yet.
func unknowns(n int) []float64 {
	list := make([]float64, n)
	for i := range list {
		list[i] = math.NaN()
	}
	return list
}
