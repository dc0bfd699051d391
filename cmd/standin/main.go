// Command standin runs a stand-in for an upstream, a worker or the platform, for the
// demo and the tests.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"rudderfork.example/rudderfork/standin"
	"rudderfork.example/rudderfork/standin/platform"
	"rudderfork.example/rudderfork/standin/upstream"
	"rudderfork.example/rudderfork/standin/worker"
	api "rudderfork.example/rudderfork/worker"
)

func main() {
	subcommands.Register(&upstreamCommand{}, "")
	subcommands.Register(&workerCommand{}, "")
	subcommands.Register(&platformCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := subcommands.Execute(ctx)
	stop()
	os.Exit(int(code))
}

// serve serves h until ctx is done.
func serve(ctx context.Context, listen string, h http.Handler) subcommands.ExitStatus {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	fmt.Fprintln(os.Stderr, "event=started listen="+ln.Addr().String())
	_ = srv.Serve(ln)
	return subcommands.ExitSuccess
}

// openAudit opens the audit file at path. It exits the process if that fails.
func openAudit(path string) *standin.Audit {
	a, err := standin.OpenAudit(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	return a
}

type upstreamCommand struct {
	listen, audit, worker string
	slowdown              float64
	cfg                   upstream.Config
}

func (*upstreamCommand) Name() string     { return "upstream" }
func (*upstreamCommand) Synopsis() string { return "run a service that accepts seat holds" }
func (*upstreamCommand) Usage() string    { return "upstream -listen ADDR\n" }

func (c *upstreamCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "listen address")
	f.StringVar(&c.audit, "audit", "", "audit file")
	f.StringVar(&c.cfg.VM, "vm", "", "name of the VM")
	f.DurationVar(&c.cfg.Work, "work", 5*time.Millisecond, "processing time of a request")
	f.StringVar(&c.worker, "worker", "", "address of the worker whose tasks slow this service")
	f.Float64Var(&c.slowdown, "slowdown", 0, "slowdown by a task at full speed, added to a factor of 1")
}

func (c *upstreamCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.worker != "" && c.slowdown > 0 {
		c.cfg.Slowdown = watchWorker(ctx, c.worker, c.slowdown)
	}
	return serve(ctx, c.listen, upstream.New(c.cfg, openAudit(c.audit)).Handler())
}

// watchWorker polls the worker at addr and returns a function that gives the current
// slowdown factor: 1, plus slowdown for each running task, halved with each throttle
// level. Tasks at level 3 or above add nothing.
func watchWorker(ctx context.Context, addr string, slowdown float64) func() float64 {
	var factor atomic.Uint64 // bits of a float64
	factor.Store(math.Float64bits(1))
	hc := &http.Client{Timeout: time.Second}
	go func() {
		for ctx.Err() == nil {
			var l api.List
			if resp, err := hc.Get("http://" + addr + "/tasks"); err == nil {
				_ = json.NewDecoder(resp.Body).Decode(&l)
				_ = resp.Body.Close()
			}
			sum := 1.0
			for _, t := range l.Tasks {
				if t.Phase == "running" && t.Throttle < 3 {
					sum += slowdown / float64(int(1)<<t.Throttle)
				}
			}
			factor.Store(math.Float64bits(sum))
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return func() float64 { return math.Float64frombits(factor.Load()) }
}

type workerCommand struct {
	listen, audit string
	cfg           worker.Config
}

func (*workerCommand) Name() string     { return "worker" }
func (*workerCommand) Synopsis() string { return "run a worker that runs tasks" }
func (*workerCommand) Usage() string    { return "worker -listen ADDR\n" }

func (c *workerCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "listen address")
	f.StringVar(&c.audit, "audit", "", "audit file")
	f.StringVar(&c.cfg.VM, "vm", "", "name of the VM")
	f.DurationVar(&c.cfg.Unit, "unit", 10*time.Millisecond, "duration of a unit of work")
	f.Int64Var(&c.cfg.Checkpoint, "checkpoint", 10, "units between checkpoints")
	f.DurationVar(&c.cfg.Lag, "lag", 500*time.Millisecond, "age of the usage reports")
	f.BoolVar(&c.cfg.FailAll, "fail-all", false, "fail every task")
	f.Int64Var(&c.cfg.Usage.CPUMilli, "use-cpu", 1000, "thousandths of a core that a task uses")
	f.Int64Var(&c.cfg.Usage.MemoryMB, "use-memory", 400, "MB that a task uses")
}

func (c *workerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return serve(ctx, c.listen, worker.New(c.cfg, openAudit(c.audit)).Handler())
}

type platformCommand struct {
	listen string
	lag    time.Duration
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "serve the list of VMs with a delay" }
func (*platformCommand) Usage() string    { return "platform -listen ADDR\n" }

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "listen address")
	f.DurationVar(&c.lag, "lag", 3*time.Second, "delay of the list")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return serve(ctx, c.listen, platform.New(c.lag).Handler())
}
