package fairshare

import (
	"fmt"
	"testing"
)

// BenchmarkObserve measures an observation with as many active groups as have accounts: of always
// the same groups, and of groups that all replace the ones before.
func BenchmarkObserve(b *testing.B) {
	demands := func(prefix string) (list []Demand) {
		for i := range maxGroups {
			list = append(list, Demand{GroupOf("q", fmt.Sprintf("%s%d", prefix, i)), 1, 1, objectiveMS})
		}
		return list
	}
	for _, c := range []struct {
		name string
		sets [][]Demand
	}{
		{"same groups", [][]Demand{demands("a")}},
		{"new groups", [][]Demand{demands("a"), demands("b")}},
	} {
		b.Run(c.name, func(b *testing.B) {
			l := New(nil)
			for i := 0; b.Loop(); i++ {
				l.Observe(l.at+stepMS, c.sets[i%len(c.sets)])
			}
		})
	}
}
