//go:build proof

// Package proof proves the promises of the brief with real processes, real
// kill -9 and SIGSTOP, and a fault-injecting proxy on every link. Each TestProve
// prints one line for its promise; docs/PROOFS.md maps promises to tests.
package proof

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/internal/harness"
	"rudderfork.example/rudderfork/replica"
)

// testLimit bounds one proof. It ends a proof that hangs; no promise rests on it.
const testLimit = 100 * time.Second

// startCluster starts a cluster and waits until it serves.
func startCluster(t *testing.T, opt harness.Options) (context.Context, *harness.Cluster) {
	t.Helper()
	bin := os.Getenv("RUDDER_BIN")
	assert.Assert(t, bin != "", "RUDDER_BIN names the folder of the programs; run make real or make prove")
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	t.Cleanup(cancel)
	dir := t.TempDir()
	if keep := os.Getenv("RUDDER_KEEP"); keep != "" {
		dir = keep + "/" + t.Name()
		assert.NilError(t, os.RemoveAll(dir))
		assert.NilError(t, os.MkdirAll(dir, 0o755))
	}
	c := harness.New(dir, bin, opt)
	t.Cleanup(c.Close)
	assert.NilError(t, c.Start())
	assert.NilError(t, c.WaitReady(ctx))
	return ctx, c
}

// prove prints the line of a promise when the test ends.
func prove(t *testing.T, guarantee string, figures func() string) {
	t.Helper()
	t.Cleanup(func() {
		if t.Failed() {
			fmt.Printf("FAILED %s\n", guarantee)
			return
		}
		fmt.Printf("PROVED %s: %s\n", guarantee, figures())
	})
}

// controlNames are the names of the control processes.
var controlNames = []string{"c1", "c2", "c3"}

// waitLeader waits for a settled waitLeader and returns its name; not is left out.
func waitLeader(ctx context.Context, t *testing.T, c *harness.Cluster, except string) (name string) {
	t.Helper()
	assert.NilError(t, harness.Until(ctx, "a leader", func() error {
		for _, n := range controlNames {
			if n == except || !c.Proc(n).Running() {
				continue
			}
			if st, err := status(ctx, c, n); err == nil && st.Role == "leader" && st.Ready {
				name = n
				return nil
			}
		}
		return errors.New("none leads")
	}))
	return name
}

func status(ctx context.Context, c *harness.Cluster, name string) (replica.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return c.Operator().Status(ctx, c.Proc(name).Listen())
}

// waitVM waits until a VM is live, or is not.
func waitVM(ctx context.Context, t *testing.T, c *harness.Cluster, vm string, live bool) {
	t.Helper()
	assert.NilError(t, harness.Until(ctx, fmt.Sprintf("%s to be live: %t", vm, live), func() error {
		vms, err := c.Operator().VMs(ctx)
		if err != nil {
			return err
		}
		for _, v := range vms {
			if string(v.VM) == vm && v.Live == live {
				return nil
			}
		}
		return errors.New("not yet")
	}))
}

// waitExit waits until a process has ended.
func waitExit(ctx context.Context, t *testing.T, c *harness.Cluster, name string) {
	t.Helper()
	assert.NilError(t, harness.Until(ctx, name+" to end", func() error {
		if c.Proc(name).Running() {
			return errors.New("it runs")
		}
		return nil
	}))
}
