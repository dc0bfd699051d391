package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/agent"
	"rudderfork.example/rudderfork/control"
	"rudderfork.example/rudderfork/entry"
	"rudderfork.example/rudderfork/operator"
)

var drainOff bool

var fleetCommands = []*command{
	{name: "check", usage: "control|entry|agent FILE", synopsis: "check a settings file and report every mistake", minArgs: 2, local: true, run: checkSettings},
	{name: "vms", synopsis: "list the VMs with their tasks, resources and services", run: listVMs},
	{name: "nodes", synopsis: "list entries and agents with the revision of the table that each uses", run: listNodes},
	{name: "status", synopsis: "show each control process's view of the group", run: showStatus},
	{
		name: "drain", usage: "[-off] VM", synopsis: "move tasks and requests away from a VM, or end the drain", minArgs: 1,
		flags: func(f *flag.FlagSet) { f.BoolVar(&drainOff, "off", false, "end the drain") }, run: drainVM,
	},
}

func listVMs(ctx context.Context, c *operator.Client, _ []string) error {
	vms, err := c.VMs(ctx)
	if err != nil {
		return err
	}
	w := newTable("VM\tDOMAIN\tSTATE\tTASKS\tCPU USED/ALL\tMEMORY USED/ALL\tSERVICES\tPRESSURE")
	for _, v := range vms {
		st := "live"
		switch {
		case !v.Live:
			st = "lost"
		case v.Draining:
			st = "leaving"
		case v.Excluded:
			st = "set aside"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d/%d\t%d/%d\t%v\t%.2f\n", v.VM, v.Domain, st, v.Tasks,
			v.Used.CPUMilli, v.Capacity.CPUMilli, v.Used.MemoryMB, v.Capacity.MemoryMB, v.Services, v.Pressure)
	}
	return w.Flush()
}

func listNodes(ctx context.Context, c *operator.Client, _ []string) error {
	ns, err := c.Nodes(ctx)
	if err != nil {
		return err
	}
	w := newTable("PROCESS\tKIND\tVM\tDOMAIN\tCONNECTED\tTABLE\tBEHIND FOR\tADMIN")
	for _, n := range ns {
		behind := "-"
		if !n.BehindSince.IsZero() {
			behind = time.Since(n.BehindSince).Round(time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%d\t%s\t%s\n", n.Process, n.Kind, n.Place.VM, n.Place.Domain, n.Connected, n.TableRevision, behind, n.Admin)
	}
	return w.Flush()
}

func showStatus(ctx context.Context, c *operator.Client, _ []string) error {
	w := newTable("ADDRESS\tMEMBER\tROLE\tTERM\tCOMMIT\tSNAPSHOT\tLOG BYTES\tMEMBERS")
	for _, a := range c.Addrs() {
		st, err := c.Status(ctx, a)
		if err != nil {
			fmt.Fprintf(w, "%s\tcannot be reached: %v\n", a, err)
			continue
		}
		var ms []string
		for _, m := range st.Members {
			name := string(m.ID)
			if !m.Voter {
				name += " (joining)"
			}
			ms = append(ms, name)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%v\n", a, st.ID, st.Role, st.Term, st.CommitIndex, st.SnapshotIndex, st.LogBytes, ms)
	}
	return w.Flush()
}

func drainVM(ctx context.Context, c *operator.Client, args []string) error {
	if err := c.Drain(ctx, rudderfork.VMID(args[0]), drainOff); err != nil {
		return err
	}
	fmt.Println("accepted")
	return nil
}

// checkers has a function for each kind of process that validates its settings file.
var checkers = map[string]func(path string) error{
	"control": func(p string) error { _, err := control.ReadSettings(p); return err },
	"entry":   func(p string) error { _, err := entry.ReadSettings(p); return err },
	"agent":   func(p string) error { _, err := agent.ReadSettings(p); return err },
}

func checkSettings(_ context.Context, _ *operator.Client, args []string) error {
	check := checkers[args[0]]
	if check == nil {
		return fmt.Errorf("kind %q is unknown; want control, entry or agent", args[0])
	}
	if err := check(args[1]); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}
