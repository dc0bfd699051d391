// Command rudderctl is the operators' command line. It shows and changes the table,
// jobs, VMs and queues through the control processes, and evaluates log files.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"rudderfork.example/rudderfork/internal/cli"
	"rudderfork.example/rudderfork/operator"
	"rudderfork.example/rudderfork/settings"
)

// controlEnv is the environment variable with the addresses of the control
// processes, separated by commas.
const controlEnv = "RUDDER_CONTROL"

var (
	controlFlag  = flag.String("control", "", "addresses of the control processes, separated by commas; without it, those of -settings or "+controlEnv+" are used")
	settingsFlag = flag.String("settings", "", "settings file with [operator] control = ADDR,ADDR")
	timeoutFlag  = flag.Duration("timeout", 10*time.Second, "time limit of a command that calls the control processes")
)

func main() {
	subcommands.ImportantFlag("control")
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, group := range []struct {
		name string
		cmds []*command
	}{
		{"table", tableCommands}, {"jobs", jobCommands}, {"vms and processes", fleetCommands}, {"reasons", reasonCommands}, {"queues", queueCommands},
	} {
		for _, c := range group.cmds {
			subcommands.Register(c, group.name)
		}
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := subcommands.Execute(ctx)
	stop()
	os.Exit(int(code))
}

// command is a subcommand. run gets its positional arguments, of which there are
// at least minArgs.
type command struct {
	name, usage, synopsis string
	minArgs               int
	local                 bool // needs no control process, and exits with cli.ExitSettings if it fails
	flags                 func(f *flag.FlagSet)
	run                   func(ctx context.Context, c *operator.Client, args []string) error
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.name + " " + c.usage + "\n\t" + c.synopsis + "\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < c.minArgs {
		return cli.Fail(os.Stderr, fmt.Errorf("usage: rudderctl %s", c.Usage()), cli.ExitSettings)
	}
	if c.local {
		if err := c.run(ctx, nil, f.Args()); err != nil {
			return cli.Fail(os.Stderr, err, cli.ExitSettings)
		}
		return subcommands.ExitSuccess
	}
	addrs, err := controlAddrs()
	if err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitSettings)
	}
	ctx, cancel := context.WithTimeout(ctx, *timeoutFlag)
	defer cancel()
	if err := c.run(ctx, operator.New(addrs), f.Args()); err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitFailure)
	}
	return subcommands.ExitSuccess
}

// controlAddrs returns the addresses of the control processes, from -control, the
// file of -settings or the environment, in this order.
func controlAddrs() ([]string, error) {
	list := *controlFlag
	if list == "" && *settingsFlag != "" {
		f := settings.Open(*settingsFlag)
		addrs := f.Addrs("operator", "control")
		return addrs, f.Err()
	}
	if list == "" {
		list = os.Getenv(controlEnv)
	}
	if list == "" {
		return nil, fmt.Errorf("no address of a control process: give -control ADDR,ADDR, -settings FILE or %s", controlEnv)
	}
	return strings.Split(list, ","), nil
}
