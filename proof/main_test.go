//go:build proof

// Package proof tests the guarantees of the product with real processes, SIGKILL and
// SIGSTOP, and fault-injecting proxies on every link. Each TestProve test prints one line
// per guarantee; docs/PROOFS.md maps guarantees to tests.
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

// testLimit bounds the time of one test. It only ends a test that hangs; no guarantee
// depends on it.
const testLimit = 100 * time.Second

// startCluster starts a cluster and waits until it is ready. RUDDER_KEEP names a folder in
// which its files are kept.
func startCluster(t *testing.T, opt harness.Options) (context.Context, *harness.Cluster) {
	t.Helper()
	bin := os.Getenv("RUDDER_BIN")
	assert.Assert(t, bin != "", "set RUDDER_BIN to the folder of the programs, or run make real or make prove")
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

// prove prints the line of a guarantee when the test ends.
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

// waitLeader waits until a control process other than except leads and is ready, and
// returns its name.
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
		return errors.New("no process leads")
	}))
	return name
}

// status queries the status of a control process.
func status(ctx context.Context, c *harness.Cluster, name string) (replica.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return c.Operator().Status(ctx, c.Proc(name).Listen())
}

// waitVM waits until control lists a VM as live, or as not live.
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
			return errors.New("it is still running")
		}
		return nil
	}))
}
