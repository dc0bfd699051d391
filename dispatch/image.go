package dispatch

import "math"

// maxImages bounds the images that are numbered. A planner that knows more starts
// anew, so that names that are gone take no memory.
const maxImages = 1_024

// images numbers the names of images, so that what is known by pair of images is
// found without hashing names.
type images struct {
	number map[string]int
	names  []string
}

func newImages() images { return images{number: map[string]int{}} }

// of returns the number of an image.
func (m *images) of(name string) int {
	n, known := m.number[name]
	if !known {
		n = len(m.names)
		m.number[name] = n
		m.names = append(m.names, name)
	}
	return n
}

func (m *images) crowded() bool { return len(m.names) > maxImages }

// pressure is the view's, which is asked once a plan for each pair of images.
func (p *planner) pressure(serving, filler int) float64 {
	for len(p.pairs) <= serving {
		p.pairs = append(p.pairs, nil)
	}
	row := p.pairs[serving]
	if len(row) <= filler {
		row = append(row, unasked(len(p.images.names)-len(row))...)
		p.pairs[serving] = row
	}
	if math.IsNaN(row[filler]) {
		row[filler] = p.view.Pressure(p.images.names[serving], p.images.names[filler])
	}
	return row[filler]
}

// unasked returns n figures that are not known yet.
func unasked(n int) []float64 {
	list := make([]float64, n)
	for i := range list {
		list[i] = math.NaN()
	}
	return list
}
