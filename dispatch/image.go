package dispatch

import "math"

// maxImages bounds the images that are numbered. A planner that knows more starts
// anew, so that names that are gone take no memory.
const maxImages = 1_024

// images numbers the names of images, so that what is known by pair of images is
// found without hashing names.
type images struct {
	numbers map[string]int
	names   []string
}

func newImages() images { return images{numbers: map[string]int{}} }

// of returns the number of an image.
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

// pressure is the view's, which is asked once a plan for each pair of images.
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

// unasked returns n figures that are not known yet.
func unknowns(n int) []float64 {
	list := make([]float64, n)
	for i := range list {
		list[i] = math.NaN()
	}
	return list
}
