package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// readFiles calls read with each file. An error of read is returned with the name of
// its file.
func readFiles(files []string, read func(file string, r io.Reader) error) error {
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return err
		}
		err = read(file, f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}

// eachObject calls handle with each line of a log that contains a JSON object, its
// number from 1, and the object. The object starts at the first brace; a prefix
// may stand before it. Lines without a brace are skipped.
func eachObject(r io.Reader, handle func(number int, line, object string)) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for n := 1; sc.Scan(); n++ {
		line := sc.Text()
		if start := strings.IndexByte(line, '{'); start >= 0 {
			handle(n, line, line[start:])
		}
	}
	return sc.Err()
}
