package state

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"

	"rudderfork.example/rudderfork"
)

// CellWrite sets or removes one cell if its revision is IfRevision.
type CellWrite struct {
	Key        rudderfork.CellKey  `cbor:"1,keyasint" json:"key"`
	Value      int64               `cbor:"2,keyasint" json:"value"`
	Remove     bool                `cbor:"3,keyasint,omitempty" json:"remove,omitempty"`
	IfRevision rudderfork.Revision `cbor:"4,keyasint" json:"if_revision"` // 0 for a cell that was never set
}

// Edit changes all of its cells or none. An edit that is sent again with the same ID
// returns the first result, as long as the ID is among the last EditWindow edits.
type Edit struct {
	ID     string      `cbor:"1,keyasint" json:"id"`
	By     string      `cbor:"2,keyasint,omitempty" json:"by,omitempty"`
	Writes []CellWrite `cbor:"3,keyasint" json:"writes"`
}

// EditWindow is the number of edits whose results are kept, so that a retry
// returns the first result. It covers two days at 16,000 edits a day.
const EditWindow = 32_768

// maxEditCells is the maximum number of cells in one edit.
const maxEditCells = 1000

// Check returns an error if the edit is not valid, whatever the state is. It doesn't
// check revisions.
func (e Edit) Check() error {
	if e.ID == "" || len(e.ID) > 128 {
		return fmt.Errorf("edit id %q: want 1 to 128 characters", e.ID)
	}
	if len(e.Writes) == 0 || len(e.Writes) > maxEditCells {
		return fmt.Errorf("edit %s: %d cells; want 1 to %d", e.ID, len(e.Writes), maxEditCells)
	}
	for _, w := range e.Writes {
		v := w.Value
		if w.Remove {
			v = w.Key.Default() // a removal needs only a valid key
		}
		if err := rudderfork.CheckCell(w.Key, v); err != nil {
			return err
		}
	}
	return nil
}

func (e Edit) digest() [sha256.Size]byte {
	h := sha256.New()
	for _, w := range e.Writes {
		fmt.Fprintf(h, "%s=%d %t %d\n", w.Key, w.Value, w.Remove, w.IfRevision)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func (s *State) applyEdit(e Edit) Result {
	if err := e.Check(); err != nil {
		return s.reject(CodeInvalid, "%v", err)
	}
	if first, ok := s.edits.get(e.ID); ok {
		if first.Digest != e.digest() {
			return s.reject(CodeInvalid, "edit id %q was used for another edit", e.ID)
		}
		r := first.Result
		r.Repeated = true
		return r
	}
	r := s.write(e)
	s.edits.put(editRecord{e.ID, e.digest(), r})
	return r
}

func (s *State) write(e Edit) Result {
	var stale []rudderfork.Cell
	for _, w := range e.Writes {
		if c := s.cells[w.Key]; c.Revision != w.IfRevision {
			c.Key = w.Key
			stale = append(stale, c)
		}
	}
	if len(stale) > 0 {
		r := s.reject(CodeConflict, "cell %s is at revision %d, not %d", stale[0].Key, stale[0].Revision, ifRevision(e, stale[0].Key))
		r.Cells = stale
		return r
	}
	r := s.ok()
	for _, w := range e.Writes {
		c := rudderfork.Cell{Key: w.Key, Value: w.Value, Revision: s.revision, Removed: w.Remove}
		s.setCell(c)
		r.Cells = append(r.Cells, c)
	}
	return r
}

func ifRevision(e Edit, k rudderfork.CellKey) rudderfork.Revision {
	for _, w := range e.Writes {
		if w.Key == k {
			return w.IfRevision
		}
	}
	return 0
}

func (s *State) setCell(c rudderfork.Cell) {
	s.cells[c.Key] = c
	s.tableRev = max(s.tableRev, c.Revision)
}

// Cell returns a cell; its revision is 0 if it was never set.
func (s *State) Cell(k rudderfork.CellKey) rudderfork.Cell {
	c := s.cells[k]
	c.Key = k
	return c
}

// Value implements rudderfork.Table.
func (s *State) Value(k rudderfork.CellKey) int64 {
	if c, ok := s.cells[k]; ok && !c.Removed {
		return c.Value
	}
	return k.Default()
}

// Revision implements rudderfork.Table.
func (s *State) Revision() rudderfork.Revision { return s.tableRev }

// CellsAfter returns the cells changed after rev, in the order of revisions.
func (s *State) CellsAfter(rev rudderfork.Revision) []rudderfork.Cell {
	var cs []rudderfork.Cell
	for _, c := range s.cells {
		if c.Revision > rev {
			cs = append(cs, c)
		}
	}
	slices.SortFunc(cs, func(a, b rudderfork.Cell) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key.String(), b.Key.String()))
	})
	return cs
}

// editRecord is an applied edit with its result.
type editRecord struct {
	ID     string            `cbor:"1,keyasint"`
	Digest [sha256.Size]byte `cbor:"2,keyasint"`
	Result Result            `cbor:"3,keyasint"`
}

// editHistory keeps the last EditWindow edits.
type editHistory struct {
	byID  map[string]editRecord
	order []string
}

func newEditHistory() *editHistory { return &editHistory{byID: map[string]editRecord{}} }

func (h *editHistory) get(id string) (r editRecord, ok bool) {
	r, ok = h.byID[id]
	return r, ok
}

func (h *editHistory) put(r editRecord) {
	h.byID[r.ID] = r
	h.order = append(h.order, r.ID)
	if len(h.order) > EditWindow {
		delete(h.byID, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *editHistory) records() []editRecord {
	rs := make([]editRecord, 0, len(h.order))
	for _, id := range h.order {
		rs = append(rs, h.byID[id])
	}
	return rs
}
