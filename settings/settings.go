// Package settings reads INI files and reports all errors at once.
//
// A process requests each of its keys from a File, with the range of valid values.
// The File collects errors instead of returning them one by one. Err then reports
// all of them, each with file, section, key and the valid values, and also every
// key in the file that was not requested.
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

// File is a settings file that is being read.
type File struct {
	path      string
	ini       *ini.File
	requested map[string]bool // keys that were requested, as section + "\x00" + key
	errs      []error
}

// Open reads path. If the file cannot be read or parsed, Err reports it.
func Open(path string) *File {
	f := &File{path: path, requested: map[string]bool{}}
	var err error
	f.ini, err = ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, path)
	if err != nil {
		f.errs = append(f.errs, fmt.Errorf("%s: %w", filepath.Base(path), err))
		f.ini = ini.Empty()
	}
	return f
}

func (f *File) addErrorf(section, key, format string, args ...any) {
	where := fmt.Sprintf("%s: [%s] %s: ", filepath.Base(f.path), section, key)
	f.errs = append(f.errs, fmt.Errorf(where+format, args...))
}

// value returns the text of a key. ok is false if it is missing or empty.
func (f *File) value(section, key string) (v string, ok bool) {
	f.requested[section+"\x00"+key] = true
	s, err := f.ini.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	k := s.Key(key)
	if len(k.ValueWithShadows()) > 1 {
		f.addErrorf(section, key, "is set %d times; want it once", len(k.ValueWithShadows()))
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

// Text returns a required text. valid says which texts are valid, for the error if the
// key is missing or empty.
func (f *File) Text(section, key, valid string) string {
	v, ok := f.value(section, key)
	if !ok {
		f.addErrorf(section, key, "is missing; want %s", valid)
	}
	return v
}

// Name returns a required name.
func (f *File) Name(section, key string) string {
	v := f.Text(section, key, "a name")
	if v != "" {
		if err := rudderfork.CheckName(v); err != nil {
			f.addErrorf(section, key, "%v", err)
		}
	}
	return v
}

// Addr returns a required address host:port. The host is an IP address.
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

// Addrs returns a required list of addresses separated by commas.
func (f *File) Addrs(section, key string) []string {
	v := f.Text(section, key, "addresses separated by commas")
	var addrs []string
	for a := range strings.SplitSeq(v, ",") {
		if a = strings.TrimSpace(a); a != "" {
			f.checkAddr(section, key, a)
			addrs = append(addrs, a)
		}
	}
	return addrs
}

func (f *File) checkAddr(section, key, v string) {
	host, port, err := net.SplitHostPort(v)
	n, portErr := strconv.Atoi(port)
	switch {
	case err != nil, net.ParseIP(host) == nil:
		f.addErrorf(section, key, "%q is not an address; want an IP address and a port, as in 127.0.0.1:7100", v)
	case portErr != nil || n < 0 || n > 65_535:
		f.addErrorf(section, key, "%q has no valid port; want 0 to 65535", v)
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
		f.addErrorf(section, key, "%q is not valid; want a whole number from %d to %d", v, lo, hi)
		return def
	}
	return n
}

// Duration returns a duration from lo to hi, or def if it is missing.
func (f *File) Duration(section, key string, def, lo, hi time.Duration) time.Duration {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < lo || d > hi {
		f.addErrorf(section, key, "%q is not valid; want a duration from %v to %v, as in 500ms or 10s", v, lo, hi)
		return def
	}
	return d
}

// Switch returns whether a key is on, or false if it is missing.
func (f *File) Switch(section, key string) bool {
	switch v, ok := f.value(section, key); {
	case !ok, v == "off":
		return false
	case v == "on":
		return true
	default:
		f.addErrorf(section, key, "%q is not valid; want on or off", v)
		return false
	}
}

// OptionalPairs is Pairs for a list that may be missing.
func (f *File) OptionalPairs(section, key string) [][2]string {
	if _, ok := f.value(section, key); !ok {
		return nil
	}
	return f.Pairs(section, key)
}

// Pairs returns the pairs of a required list such as "a=x, b=y", in their order.
func (f *File) Pairs(section, key string) (pairs [][2]string) {
	v := f.Text(section, key, "pairs name=value separated by commas")
	for p := range strings.SplitSeq(v, ",") {
		name, val, ok := strings.Cut(strings.TrimSpace(p), "=")
		if strings.TrimSpace(p) == "" {
			continue
		}
		if !ok {
			f.addErrorf(section, key, "%q is not a pair; want name=value", p)
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
			f.addErrorf(section, key, "%v", err)
		}
		names = append(names, n)
	}
	return names
}

// AddError adds an error that the caller has found.
func (f *File) AddError(section, key, text string) { f.addErrorf(section, key, "%s", text) }

// Place reads the section [place], which every settings file has.
func (f *File) Place() rudderfork.Place {
	return rudderfork.Place{
		VM:     rudderfork.VMID(f.Name("place", "vm")),
		Domain: rudderfork.Domain(f.Name("place", "domain")),
		Region: rudderfork.Region(f.Optional("place", "region", "")),
		Rack:   f.Optional("place", "rack", ""),
	}
}

// Err returns all errors, joined, or nil. It must be called after all keys were
// requested.
func (f *File) Err() error {
	for _, s := range f.ini.Sections() {
		for _, k := range s.Keys() {
			if !f.requested[s.Name()+"\x00"+k.Name()] {
				f.addErrorf(s.Name(), k.Name(), "is unknown; want one of %s", f.keysOf(s.Name()))
			}
		}
	}
	err := errors.Join(f.errs...)
	f.errs = nil
	return err
}

// keysOf returns the requested keys of a section, for an error text.
func (f *File) keysOf(section string) string {
	var keys []string
	for sectionKey := range f.requested {
		if s, k, _ := strings.Cut(sectionKey, "\x00"); s == section {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return "no keys: the section is unknown too"
	}
	return strings.Join(slices.Sorted(slices.Values(keys)), ", ")
}
