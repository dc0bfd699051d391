package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// readFiles calls read with each file, and names the one that it fails on.
func readFiles(files []string, read func(file string, r io.Reader) error) error {
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return err
		}
		err = read(file, f)
		_ = f.Close() // it was only read
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}

// eachObject calls take with each line of a log, its number from 1, and the object in
// it. What stands before the first brace of a line is passed over, and so are lines
// without one.
func eachObject(r io.Reader, take func(number int, line, object string)) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for n := 1; sc.Scan(); n++ {
		line := sc.Text()
		if start := strings.IndexByte(line, '{'); start >= 0 {
			take(n, line, line[start:])
		}
	}
	return sc.Err()
}
