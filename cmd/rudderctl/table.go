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

// editFlags registers the flags of the commands that change cells.
func editFlags(f *flag.FlagSet) {
	f.StringVar(&editID, "id", "", "id of the edit; use the same id to retry it")
	f.Int64Var(&ifRevision, "if", -1, "change the cell only if it has this revision; by default the revision that it has now")
}

var tableCommands = []*command{
	{name: "get", usage: "KIND/ROW/COLUMN", synopsis: "show a cell and its revision", minArgs: 1, run: getCell},
	{name: "set", usage: "[-if REV] [-id ID] KIND/ROW/COLUMN=NUMBER ...", synopsis: "set cells, all or none", minArgs: 1, flags: editFlags, run: setCells},
	{name: "unset", usage: "[-if REV] [-id ID] KIND/ROW/COLUMN", synopsis: "remove a cell, so that its default applies", minArgs: 1, flags: editFlags, run: unsetCell},
	{name: "cells", usage: "[KIND]", synopsis: "list the cells that are set", run: listCells},
	{name: "columns", usage: "[KIND]", synopsis: "list the columns with range, unit and default", local: true, run: listColumns},
}

// newTable returns a writer that aligns columns separated by tabs, with the header
// already written.
func newTable(header string) *tabwriter.Writer {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
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

// parseWrite parses KIND/ROW/COLUMN=NUMBER. The write depends on the revision that
// expectedRevision returns.
func parseWrite(ctx context.Context, c *operator.Client, arg string) (w state.CellWrite, err error) {
	key, val, ok := strings.Cut(arg, "=")
	if !ok {
		return w, fmt.Errorf("%q: want KIND/ROW/COLUMN=NUMBER", arg)
	}
	if w.Key, err = rudderfork.ParseCellKey(key); err != nil {
		return w, err
	}
	if w.Value, err = strconv.ParseInt(val, 10, 64); err != nil {
		return w, fmt.Errorf("cell %s: %q is not an integer", key, val)
	}
	w.IfRevision, err = expectedRevision(ctx, c, w.Key)
	return w, err
}

// expectedRevision returns the revision of -if or, without it, the cell's current one.
func expectedRevision(ctx context.Context, c *operator.Client, k rudderfork.CellKey) (rudderfork.Revision, error) {
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
	rev, err := expectedRevision(ctx, c, k)
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
	fmt.Printf("removed at revision %d; the default %d applies (id %s)\n", res.Revision, k.Default(), id)
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
