// Package node holds what entries and agents share: the session with the control processes and the
// local copy of the table.
//
// The revision of the copy only increases. A process that has just started has no copy and serves
// nothing until the leader of the control processes has sent the whole table. The leader does so
// only after a quorum has confirmed it since the session started. A restart therefore falls back neither to an older revision
// nor to defaults. While no control process can be reached, a running process continues with its
// copy.
package node

import (
	"sync"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/wire"
)

// Table is this process's copy of the table. It is safe for concurrent use, and implements
// rudderfork.Table.
type Table struct {
	mu       sync.RWMutex
	cells    map[rudderfork.CellKey]rudderfork.Cell
	revision rudderfork.Revision
	known    bool // an update was received since the process started
}

// NewTable returns a table that has not been received yet.
func NewTable() *Table { return &Table{cells: map[rudderfork.CellKey]rudderfork.Cell{}} }

// Apply applies an update and reports whether it changed the copy. Updates that start after the
// copy's revision, or end at or before it, are refused.
func (t *Table) Apply(u wire.Update) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.From > t.revision || t.known && u.To <= t.revision {
		return false
	}
	for _, c := range u.Cells {
		if old, ok := t.cells[c.Key]; !ok || c.Revision > old.Revision {
			t.cells[c.Key] = c
		}
	}
	t.revision, t.known = u.To, true
	return true
}

// Value implements rudderfork.Table.
func (t *Table) Value(k rudderfork.CellKey) int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if c, ok := t.cells[k]; ok && !c.Removed {
		return c.Value
	}
	return k.Default()
}

// Revision implements rudderfork.Table.
func (t *Table) Revision() rudderfork.Revision {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.revision
}

// Known reports whether the table was received since the process started.
func (t *Table) Known() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.known
}

// Service returns the value of a cell in a service's row.
func (t *Table) Service(s rudderfork.Service, column string) int64 {
	return t.Value(rudderfork.CellKey{Kind: rudderfork.RowService, Row: string(s), Column: column})
}

// TeamWeight returns a team's weight.
func (t *Table) TeamWeight(team rudderfork.Team) int64 {
	return t.Value(rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: string(team), Column: rudderfork.ColWeight})
}
