// Package learned encodes what a leader of the queues has learned as a record for its successor,
// and tells how old a record is.
//
// A record consists of sections, one for each model. A section that is damaged, of another version
// or missing is left out without the others. The package does not know what the sections hold.
//
// The record names no time of a clock: machines' clocks differ. Times in sections are ages relative
// to the record, and each replica measures the record's age with its own steady clock (Watch).
package learned

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rudderfork.example/rudderfork/internal/errs"
)

// formatVersion is the version of the header and of the frames of sections.
const formatVersion = 1

const (
	// maxSections bounds the sections that are read from a record.
	maxSections = 64
	// maxSinceMS bounds header.SinceMS, so that times do not overflow.
	maxSinceMS = 1e11
)

// Errors of sections.
var (
	ErrNoSection = errors.New("the record has no such section")
	ErrDamaged   = errors.New("the checksum does not match")
	ErrTooLarge  = errors.New("the section exceeds the size of the record")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header begins a record.
type header struct {
	Version int `cbor:"1,keyasint"`
	// Term and SinceMS are explained at Origin.
	Term    uint64 `cbor:"2,keyasint"`
	SinceMS int64  `cbor:"3,keyasint"`
}

// Origin says when a leader made a record, so that a Watch can tell its age.
type Origin struct {
	Term  uint64        // of the leader
	Since time.Duration // from the start of the term
}

// section is what one model has learned.
type section struct {
	Name    string `cbor:"1,keyasint"`
	Version int    `cbor:"2,keyasint"`
	Sum     uint32 `cbor:"3,keyasint"` // CRC-32C of Data
	Data    []byte `cbor:"4,keyasint"`
}

// Encoder builds a record of at most a given size.
type Encoder struct {
	data []byte
	size int
}

// NewEncoder returns an encoder of a record of at most size bytes.
func NewEncoder(o Origin, size int) (*Encoder, error) {
	data, err := cbor.Marshal(header{Version: formatVersion, Term: o.Term, SinceMS: o.Since.Milliseconds()})
	return &Encoder{data: data, size: size}, err
}

// Add appends a section. A section that does not fit is left out, with ErrTooLarge.
func (e *Encoder) Add(name string, version int, v any) (err error) {
	defer errs.Annotate(&err, "section %s", name)
	content, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(section{Name: name, Version: version, Sum: crc32.Checksum(content, castagnoli), Data: content})
	if err != nil {
		return err
	}
	if len(e.data)+len(data) > e.size {
		return fmt.Errorf("%d bytes: %w", len(data), ErrTooLarge)
	}
	e.data = append(e.data, data...)
	return nil
}

// Bytes returns the record.
func (e *Encoder) Bytes() []byte { return e.data }

// Record is a decoded record.
type Record struct{ sections map[string]section }

// Decode decodes a record. If the record is damaged, r holds the sections before the damage,
// and err is not nil.
func Decode(data []byte) (r *Record, err error) {
	defer errs.Annotate(&err, "decode the record of learned state")
	r = &Record{sections: map[string]section{}}
	dec := cbor.NewDecoder(bytes.NewReader(data))
	if _, err := decodeHeader(dec); err != nil {
		return r, err
	}
	for dec.NumBytesRead() < len(data) && len(r.sections) < maxSections {
		var s section
		if err := dec.Decode(&s); err != nil {
			return r, err
		}
		r.sections[s.Name] = s
	}
	return r, nil
}

func decodeHeader(dec *cbor.Decoder) (h header, err error) {
	if err := dec.Decode(&h); err != nil {
		return header{}, err
	}
	switch {
	case h.Version != formatVersion:
		return header{}, fmt.Errorf("format %d; want %d", h.Version, formatVersion)
	case h.SinceMS < 0 || h.SinceMS > maxSinceMS:
		return header{}, fmt.Errorf("made %d ms after the start of a term", h.SinceMS)
	}
	return h, nil
}

func (h header) since() time.Duration { return time.Duration(h.SinceMS) * time.Millisecond }

// Section decodes a section into v. It returns ErrNoSection if the record lacks it.
func (r *Record) Section(name string, version int, v any) (err error) {
	defer errs.Annotate(&err, "section %s", name)
	s, ok := r.sections[name]
	switch {
	case !ok:
		return ErrNoSection
	case s.Version != version:
		return fmt.Errorf("version %d; want %d", s.Version, version)
	case crc32.Checksum(s.Data, castagnoli) != s.Sum:
		return ErrDamaged
	}
	return cbor.Unmarshal(s.Data, v)
}
