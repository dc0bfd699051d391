// Package settings reads INI files and reports every mistake at once.
//
// A File is asked for each key that a process knows, with what is valid there.
// It remembers mistakes instead of returning them one by one; Err then reports
// all, each with file, section, key and what would be valid, and also every
// section and key that nobody asked for.
package settings

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"rudderfork.example/rudderfork"
)

// File is a settings file being read.
type File struct {
	path     string
	ini      *ini.File
	known    map[string]bool // section NUL key
	mistakes []error
}

// Open reads path. A file that cannot be read or parsed is a mistake that Err
// reports.
func Open(path string) *File {
	f := &File{path: path, known: map[string]bool{}}
	var err error
	f.ini, err = ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, path)
	if err != nil {
		f.mistakes = append(f.mistakes, fmt.Errorf("%s: %w", filepath.Base(path), err))
		f.ini = ini.Empty()
	}
	return f
}

func (f *File) wrong(section, key, format string, args ...any) {
	where := fmt.Sprintf("%s: [%s] %s: ", filepath.Base(f.path), section, key)
	f.mistakes = append(f.mistakes, fmt.Errorf(where+format, args...))
}

// value returns the key's text; ok is false if it is missing or empty.
func (f *File) value(section, key string) (v string, ok bool) {
	f.known[section+"\x00"+key] = true
	s, err := f.ini.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	k := s.Key(key)
	if len(k.ValueWithShadows()) > 1 {
		f.wrong(section, key, "is given %d times; want it once", len(k.ValueWithShadows()))
	}
	v = strings.TrimSpace(k.Value())
	return v, v != ""
}

// Optional returns a text, or def if it is missing.
func (f *File) Optional(section, key, def string) string {
	if v, ok := f.value(section, key); ok {
		return v
	}
	return def
}

// Text returns a text that must be there.
func (f *File) Text(section, key, valid string) string {
	v, ok := f.value(section, key)
	if !ok {
		f.wrong(section, key, "is missing; want %s", valid)
	}
	return v
}

// Name returns a name that must be there.
func (f *File) Name(section, key string) string {
	v := f.Text(section, key, "a name")
	if v != "" {
		if err := rudderfork.CheckName(v); err != nil {
			f.wrong(section, key, "%v", err)
		}
	}
	return v
}

// Addr returns an address host:port that must be there. The host is an IP
// number.
func (f *File) Addr(section, key string) string {
	v := f.Text(section, key, "an address, as in 127.0.0.1:7100")
	if v != "" {
		f.checkAddr(section, key, v)
	}
	return v
}

// OptionalAddr returns an address, or "" if it is missing.
func (f *File) OptionalAddr(section, key string) string {
	v, ok := f.value(section, key)
	if ok {
		f.checkAddr(section, key, v)
	}
	return v
}

// Addrs returns a list of addresses, separated by commas, that must be there.
func (f *File) Addrs(section, key string) []string {
	v := f.Text(section, key, "addresses separated by commas")
	var as []string
	for a := range strings.SplitSeq(v, ",") {
		if a = strings.TrimSpace(a); a != "" {
			f.checkAddr(section, key, a)
			as = append(as, a)
		}
	}
	return as
}

func (f *File) checkAddr(section, key, v string) {
	host, port, err := net.SplitHostPort(v)
	n, perr := strconv.Atoi(port)
	switch {
	case err != nil, net.ParseIP(host) == nil:
		f.wrong(section, key, "%q is no address; want an IP number and a port, as in 127.0.0.1:7100", v)
	case perr != nil || n < 0 || n > 65_535:
		f.wrong(section, key, "%q has no valid port; want 0 to 65535", v)
	}
}

// Int returns a number from lo to hi, or def if it is missing.
func (f *File) Int(section, key string, def, lo, hi int64) int64 {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < lo || n > hi {
		f.wrong(section, key, "%q is not valid; want a whole number from %d to %d", v, lo, hi)
		return def
	}
	return n
}

// Duration returns a time span from lo to hi, or def if it is missing.
func (f *File) Duration(section, key string, def, lo, hi time.Duration) time.Duration {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < lo || d > hi {
		f.wrong(section, key, "%q is not valid; want a time span from %v to %v, as in 500ms or 10s", v, lo, hi)
		return def
	}
	return d
}

// Pairs returns the pairs of a list such as "a=x, b=y", in their order.
func (f *File) Pairs(section, key string) (pairs [][2]string) {
	v := f.Text(section, key, "pairs name=value separated by commas")
	for p := range strings.SplitSeq(v, ",") {
		name, val, ok := strings.Cut(strings.TrimSpace(p), "=")
		if strings.TrimSpace(p) == "" {
			continue
		}
		if !ok {
			f.wrong(section, key, "%q is no pair; want name=value", p)
			continue
		}
		pairs = append(pairs, [2]string{strings.TrimSpace(name), strings.TrimSpace(val)})
	}
	return pairs
}

// Names returns a list of names separated by commas; it may be empty.
func (f *File) Names(section, key string) (names []string) {
	v, _ := f.value(section, key)
	for n := range strings.SplitSeq(v, ",") {
		if n = strings.TrimSpace(n); n == "" {
			continue
		}
		if err := rudderfork.CheckName(n); err != nil {
			f.wrong(section, key, "%v", err)
		}
		names = append(names, n)
	}
	return names
}

// Wrong adds a mistake that only the caller can see.
func (f *File) Wrong(section, key, text string) { f.wrong(section, key, "%s", text) }

// Place reads the section [place], which every process has.
func (f *File) Place() rudderfork.Place {
	return rudderfork.Place{
		VM:     rudderfork.VMID(f.Name("place", "vm")),
		Domain: rudderfork.Domain(f.Name("place", "domain")),
		Region: rudderfork.Region(f.Optional("place", "region", "")),
		Rack:   f.Optional("place", "rack", ""),
	}
}

// Err reports every mistake, or nil.
func (f *File) Err() error {
	for _, s := range f.ini.Sections() {
		for _, k := range s.Keys() {
			if !f.known[s.Name()+"\x00"+k.Name()] {
				f.wrong(s.Name(), k.Name(), "is unknown; want one of %s", f.keysOf(s.Name()))
			}
		}
	}
	err := errors.Join(f.mistakes...)
	f.mistakes = nil
	return err
}

func (f *File) keysOf(section string) string {
	var keys []string
	for sk := range f.known {
		if s, k, _ := strings.Cut(sk, "\x00"); s == section {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return "no keys: the section is unknown too"
	}
	return strings.Join(slices.Sorted(slices.Values(keys)), ", ")
}
