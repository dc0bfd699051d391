package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/operator"
	"rudderfork.example/rudderfork/state"
)

var (
	editID     string
	ifRevision int64
)

// editFlags are those of commands that change cells.
func editFlags(f *flag.FlagSet) {
	f.StringVar(&editID, "id", "", "id of the edit; give the same again when you resend")
	f.Int64Var(&ifRevision, "if", -1, "change only if the cell is still at this revision; else it is read first")
}

var tableCommands = []*command{
	{name: "get", usage: "KIND/ROW/COLUMN", synopsis: "show a cell and its revision", args: 1, do: getCell},
	{name: "set", usage: "[-if REV] [-id ID] KIND/ROW/COLUMN=NUMBER ...", synopsis: "set cells, all or none", args: 1, flags: editFlags, do: setCells},
	{name: "unset", usage: "[-if REV] [-id ID] KIND/ROW/COLUMN", synopsis: "remove a cell, so that its default counts", args: 1, flags: editFlags, do: unsetCell},
	{name: "cells", usage: "[KIND]", synopsis: "list the cells that are set", do: listCells},
	{name: "columns", usage: "[KIND]", synopsis: "list the columns with range, unit and default", local: true, do: listColumns},
}

// newTable returns a writer that lines up columns separated by tabs.
func newTable(head string) *tabwriter.Writer {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, head)
	return w
}

func getCell(ctx context.Context, c *operator.Client, args []string) error {
	k, err := rudderfork.ParseCellKey(args[0])
	if err != nil {
		return err
	}
	cell, err := c.Cell(ctx, k)
	if err != nil {
		return err
	}
	fmt.Printf("%s = %d (revision %d)\n", k, cell.Value, cell.Revision)
	return nil
}

func setCells(ctx context.Context, c *operator.Client, args []string) error {
	e := state.Edit{ID: editID, By: os.Getenv("USER")}
	if e.ID == "" {
		e.ID = operator.NewID()
	}
	for _, a := range args {
		w, err := parseWrite(ctx, c, a)
		if err != nil {
			return err
		}
		e.Writes = append(e.Writes, w)
	}
	res, err := c.Edit(ctx, e)
	if err != nil {
		return err
	}
	fmt.Printf("accepted at revision %d (id %s)\n", res.Revision, e.ID)
	return nil
}

// parseWrite reads KIND/ROW/COLUMN=NUMBER, and the cell's revision if none was
// given.
func parseWrite(ctx context.Context, c *operator.Client, arg string) (w state.CellWrite, err error) {
	key, val, ok := strings.Cut(arg, "=")
	if !ok {
		return w, fmt.Errorf("%q: want KIND/ROW/COLUMN=NUMBER", arg)
	}
	if w.Key, err = rudderfork.ParseCellKey(key); err != nil {
		return w, err
	}
	if w.Value, err = strconv.ParseInt(val, 10, 64); err != nil {
		return w, fmt.Errorf("cell %s: %q is no whole number", key, val)
	}
	w.IfRevision, err = revisionOf(ctx, c, w.Key)
	return w, err
}

func revisionOf(ctx context.Context, c *operator.Client, k rudderfork.CellKey) (rudderfork.Revision, error) {
	if ifRevision >= 0 {
		return rudderfork.Revision(ifRevision), nil
	}
	cell, err := c.Cell(ctx, k)
	return cell.Revision, err
}

func unsetCell(ctx context.Context, c *operator.Client, args []string) error {
	k, err := rudderfork.ParseCellKey(args[0])
	if err != nil {
		return err
	}
	rev, err := revisionOf(ctx, c, k)
	if err != nil {
		return err
	}
	id := editID
	if id == "" {
		id = operator.NewID()
	}
	res, err := c.Unset(ctx, k, rev, id)
	if err != nil {
		return err
	}
	fmt.Printf("removed at revision %d; the default %d counts (id %s)\n", res.Revision, k.Default(), id)
	return nil
}

func listCells(ctx context.Context, c *operator.Client, args []string) error {
	kind := ""
	if len(args) > 0 {
		kind = args[0]
	}
	cells, err := c.Cells(ctx, rudderfork.RowKind(kind))
	if err != nil {
		return err
	}
	w := newTable("CELL\tVALUE\tREVISION")
	for _, cell := range cells {
		fmt.Fprintf(w, "%s\t%d\t%d\n", cell.Key, cell.Value, cell.Revision)
	}
	return w.Flush()
}

func listColumns(_ context.Context, _ *operator.Client, args []string) error {
	w := newTable("KIND\tCOLUMN\tFROM\tTO\tDEFAULT\tUNIT")
	for _, k := range []rudderfork.RowKind{rudderfork.RowService, rudderfork.RowJob, rudderfork.RowTeam} {
		if len(args) > 0 && args[0] != string(k) {
			continue
		}
		for _, col := range rudderfork.Columns(k) {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", k, col.Name, col.Min, col.Max, col.Default, col.Unit)
		}
	}
	return w.Flush()
}
