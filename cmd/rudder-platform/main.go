// Command rudder-platform runs rudderfork on the users' platform: as "entry" on
// edge machines, as "agent" on side machines and as "control" on core machines.
// The platform passes the path of the settings file in an environment variable.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/internal/cli"
	"rudderfork.example/rudderfork/internal/logging"
	"rudderfork.example/rudderfork/platform"
	"rudderfork.example/rudderfork/scheduler"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, r := range roles() {
		subcommands.Register(r, "")
	}
	subcommands.Register(&check{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// role is the subcommand that runs one kind of process.
type role struct {
	name, synopsis string
	build          func(cfg platform.Settings, log zerolog.Logger) (*platform.Process, error)
	metricsPort    uint // 0: metrics are served on the internal address only

	scheduling string // path of the settings file of the policies; "" for none
}

func newRole(name, synopsis string, build func(platform.Settings, zerolog.Logger) (*platform.Process, error)) *role {
	return &role{name: name, synopsis: synopsis, build: build}
}

// roles returns the subcommands that run a process.
func roles() []*role {
	return []*role{
		newRole("entry", "accept jobs from clients (edge machines)", platform.NewEntry),
		newRole("agent", "run the tasks of one machine (side machines)", platform.NewAgent),
		newRole("control", "hold a replica of the state, and schedule as the leader (core machines)", platform.NewControl),
	}
}

// Name implements subcommands.Command.
func (r *role) Name() string { return r.name }

// Synopsis implements subcommands.Command.
func (r *role) Synopsis() string { return r.synopsis }

// Usage implements subcommands.Command.
func (r *role) Usage() string {
	return r.name + " [-metrics-port N] [-scheduling FILE]: " + r.synopsis + "\n"
}

// SetFlags implements subcommands.Command.
func (r *role) SetFlags(f *flag.FlagSet) {
	f.UintVar(&r.metricsPort, "metrics-port", 0, "also serve metrics on this port, in addition to the internal address; 0 for none")
	f.StringVar(&r.scheduling, "scheduling", "", schedulingUsage)
}

// schedulingUsage describes the flag -scheduling.
const schedulingUsage = "settings file of the optional scheduling policies; without it none is in force"

// Execute implements subcommands.Command.
func (r *role) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := readSettings(r.scheduling)
	if err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitSettings)
	}
	if r.metricsPort != 0 {
		cfg.Metrics = net.JoinHostPort(cfg.IP, strconv.FormatUint(uint64(r.metricsPort), 10))
	}
	log, flush := logging.NewBounded(os.Stdout, cfg.Node, cfg.Place)
	defer flush()
	p, err := r.build(cfg, log)
	if err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitFailure)
	}
	if err := p.Run(ctx, reload); err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitFailure)
	}
	return subcommands.ExitSuccess
}

// readSettings reads the settings of the process, and those of the policies.
func readSettings(scheduling string) (cfg platform.Settings, err error) {
	cfg, err = platform.ReadSettings()
	if err != nil {
		return cfg, err
	}
	cfg.Policies, err = scheduler.ReadPolicies(scheduling)
	return cfg, err
}

// check is the subcommand that validates the settings files and exits.
type check struct {
	scheduling string // as in role
}

// Name implements subcommands.Command.
func (*check) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*check) Synopsis() string { return "check the settings files and report every mistake" }

// Usage implements subcommands.Command.
func (*check) Usage() string { return "check [-scheduling FILE]\n" }

// SetFlags implements subcommands.Command.
func (c *check) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.scheduling, "scheduling", "", schedulingUsage)
}

// Execute implements subcommands.Command.
func (c *check) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := readSettings(c.scheduling); err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitSettings)
	}
	fmt.Println("ok")
	return subcommands.ExitSuccess
}
