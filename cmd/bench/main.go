// Command bench runs the benchmarks of package bench and prints their results.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"rudderfork.example/rudderfork/bench"
)

func main() {
	bin := flag.String("bin", "bin", "folder of the binaries")
	only := flag.String("only", "", "sections to run, separated by commas; all by default")
	csvFile := flag.String("csv", "", "CSV file for the results of the section fleet; none by default")
	flag.Parse()
	want := strings.Split(*only, ",")
	failed := false
	for _, s := range bench.Sections(*bin, *csvFile) {
		if *only != "" && !contains(want, s.Name) {
			continue
		}
		if err := s.Run(os.Stdout); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", s.Name, err)
			failed = true
		}
	}
	if failed {
		os.Exit(1)
	}
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}
