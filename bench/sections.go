package bench

import "io"

// Section is one part of the measurements.
type Section struct {
	Name string
	Run  func(w io.Writer) error
}

// Sections returns the parts in the order in which they are printed. Those that
// run real processes find them in bin. csvFile takes the figures of the fleet; "" for none.
func Sections(bin, csvFile string) []Section {
	pure := func(f func(w io.Writer)) func(io.Writer) error {
		return func(w io.Writer) error { f(w); return nil }
	}
	live := func(f func(w io.Writer, bin string) error) func(io.Writer) error {
		return func(w io.Writer) error { return f(w, bin) }
	}
	return []Section{
		{"upstreams", pure(Upstreams)},
		{"overload", pure(Overload)},
		{"colocation", pure(Colocation)},
		{"scale", pure(Scale)},
		{"crashes", pure(Crashes)},
		{"fleet", Fleet(csvFile)},
		{"recovery", Recovery},
		{"commits", live(Commits)},
		{"sessions", live(Sessions)},
		{"idle", live(Idle)},
		{"urgent", live(Urgent)},
		{"path", live(Path)},
		{"silence", live(Silence)},
		{"dark", live(Dark)},
	}
}
