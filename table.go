package rudderfork

import (
	"fmt"
	"strings"
)

// RowKind is the kind of a row of the table.
type RowKind string

// The kinds of row.
const (
	RowService RowKind = "service"
	RowJob     RowKind = "job"
	RowTeam    RowKind = "team"
)

// The columns. Columns returns their units and ranges.
const (
	ColWeight       = "weight"
	ColPriority     = "priority"
	ColSlots        = "slots"
	ColConnections  = "connections"
	ColQueue        = "queue"
	ColTargetMS     = "target_ms"
	ColClaimWindow  = "claim_window_s"
	ColCPU          = "cpu_milli"
	ColMemory       = "memory_mb"
	ColAccelerators = "accelerators"
	ColMaxRunning   = "max_running"
	ColDeadline     = "deadline_ms"
)

// CellKey identifies a cell.
type CellKey struct {
	Kind   RowKind `cbor:"1,keyasint" json:"kind"`
	Row    string  `cbor:"2,keyasint" json:"row"`
	Column string  `cbor:"3,keyasint" json:"column"`
}

// String formats the key as operators write it: kind/row/column.
func (k CellKey) String() string { return string(k.Kind) + "/" + k.Row + "/" + k.Column }

// ParseCellKey is the inverse of CellKey.String.
func ParseCellKey(s string) (CellKey, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || parts[2] == "" {
		return CellKey{}, fmt.Errorf("cell %q: want kind/row/column, as in service/tour-desk/weight", s)
	}
	return CellKey{RowKind(parts[0]), parts[1], parts[2]}, nil
}

// Cell is a number in the table, with the revision that last changed it. A removed cell is kept with
// its revision, so that removals are replicated like changes.
type Cell struct {
	Key      CellKey  `cbor:"1,keyasint" json:"key"`
	Value    int64    `cbor:"2,keyasint" json:"value"`
	Revision Revision `cbor:"3,keyasint" json:"revision"`
	Removed  bool     `cbor:"4,keyasint,omitempty" json:"removed,omitempty"`
}

// Column describes a column of a kind of row.
type Column struct {
	Name    string
	Unit    string
	Min     int64
	Max     int64
	Default int64
}

// maxDeadlineMS is the year 2100 in Unix milliseconds.
const maxDeadlineMS = 4_102_444_800_000

var columns = map[RowKind][]Column{
	RowService: {
		{ColWeight, "share", 1, 1000, 100},
		{ColSlots, "requests", 1, 64, 8},
		{ColConnections, "connections", 1, 1024, 64},
		{ColQueue, "requests", 0, 10_000, 64},
		{ColTargetMS, "ms", 1, 60_000, 100},
		{ColClaimWindow, "s", 60, 86_400, 3600},
	},
	RowJob: {
		{ColWeight, "share", 1, 1000, 100},
		{ColPriority, "level", 0, 9, 1},
		{ColCPU, "thousandths of a core", 1, 1_024_000, 1000},
		{ColMemory, "MB", 1, 16_000_000, 256},
		{ColAccelerators, "devices", 0, 64, 0},
		{ColMaxRunning, "tasks", 0, 100_000, 100_000},
		{ColDeadline, "Unix ms, 0 for none", 0, maxDeadlineMS, 0},
	},
	RowTeam: {
		{ColWeight, "share", 1, 1000, 100},
		{ColCPU, "thousandths of a core", 0, 1_000_000_000, 1_000_000_000},
		{ColMemory, "MB", 0, 16_000_000_000, 16_000_000_000},
		{ColAccelerators, "devices", 0, 100_000, 100_000},
	},
}

// Columns returns the columns of a kind of row; nil for an unknown kind.
func Columns(kind RowKind) []Column { return columns[kind] }

// Default returns the value of an unset cell.
func (k CellKey) Default() int64 {
	for _, c := range columns[k.Kind] {
		if c.Name == k.Column {
			return c.Default
		}
	}
	return 0
}

// CheckCell returns an error that names row, cell and range if value is not valid for k.
func CheckCell(k CellKey, value int64) error {
	cols, ok := columns[k.Kind]
	if !ok {
		return fmt.Errorf("cell %s: kind %q is unknown; want service, job or team", k, k.Kind)
	}
	if err := CheckName(k.Row); err != nil {
		return fmt.Errorf("cell %s: row: %w", k, err)
	}
	names := make([]string, 0, len(cols))
	for _, c := range cols {
		if c.Name != k.Column {
			names = append(names, c.Name)
			continue
		}
		if value < c.Min || value > c.Max {
			return fmt.Errorf("cell %s: %d is out of range; want %d to %d (%s)", k, value, c.Min, c.Max, c.Unit)
		}
		return nil
	}
	return fmt.Errorf("cell %s: a %s has no column %q; want one of %s", k, k.Kind, k.Column, strings.Join(names, ", "))
}

// maxName is the maximum length of the names of rows, jobs, teams and VMs, in bytes.
const maxName = 64

// CheckName returns an error if s is not a valid name of a row, job, team or VM.
func CheckName(s string) error {
	if s == "" || len(s) > maxName {
		return fmt.Errorf("name %q: want 1 to %d characters", s, maxName)
	}
	for _, c := range s {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
		if !ok {
			return fmt.Errorf("name %q: character %q is not allowed; want letters, digits, '-', '_' or '.'", s, c)
		}
	}
	return nil
}

// Table provides read access to cells.
type Table interface {
	// Value returns the cell's number, or its column's default if unset.
	Value(k CellKey) int64
	// Revision returns the revision of the newest change in the table.
	Revision() Revision
}
