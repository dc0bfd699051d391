package bench

import "io"

// Section is one group of benchmarks, which can be run by itself.
type Section struct {
	Name string
	Run  func(w io.Writer) error
}

// Sections returns the sections in the order in which they are printed. bin is the folder
// of the programs that some of them run. csvFile is the file to which the section fleet
// writes its table as CSV; "" for none.
func Sections(bin, csvFile string) []Section {
	infallible := func(f func(w io.Writer)) func(io.Writer) error {
		return func(w io.Writer) error { f(w); return nil }
	}
	withPrograms := func(f func(w io.Writer, bin string) error) func(io.Writer) error {
		return func(w io.Writer) error { return f(w, bin) }
	}
	return []Section{
		{"upstreams", infallible(Upstreams)},
		{"overload", infallible(Overload)},
		{"colocation", infallible(Colocation)},
		{"scale", infallible(Scale)},
		{"crashes", infallible(Crashes)},
		{"fleet", Fleet(csvFile)},
		{"recovery", Recovery},
		{"commits", withPrograms(Commits)},
		{"sessions", withPrograms(Sessions)},
		{"idle", withPrograms(Idle)},
		{"urgent", withPrograms(Urgent)},
		{"path", withPrograms(Path)},
		{"silence", withPrograms(Failover)},
		{"dark", withPrograms(ColdRestart)},
	}
}
