// Package cli implements the command line that the daemons share: the subcommand "run"
// serves until SIGTERM or SIGINT, and "check" validates a settings file.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/logging"
)

// The exit codes.
const (
	ExitFailure  = subcommands.ExitFailure
	ExitSettings = subcommands.ExitUsageError // 2: the settings or arguments are invalid, nothing was started
)

// Server is a daemon that is set up. Run serves until ctx is done and returns after a
// graceful shutdown.
type Server interface {
	Run(ctx context.Context) error
}

// Daemon defines a kind of process with settings of type S: how to read the settings,
// name the process for its log, and create its server.
type Daemon[S any] struct {
	Read func(path string) (S, error)
	Name func(cfg S) (process string, place rudderfork.Place)
	New  func(cfg S, log zerolog.Logger) (Server, error)
}

// Main runs the subcommand that the arguments name, and exits the process with its code.
// more is registered besides run and check.
func (d Daemon[S]) Main(more ...subcommands.Command) {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&command[S]{name: "run", synopsis: "serve until SIGTERM, then stop as planned", do: d.run}, "")
	subcommands.Register(&command[S]{name: "check", synopsis: "check a settings file and report every mistake", do: d.check}, "")
	for _, c := range more {
		subcommands.Register(c, "")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := subcommands.Execute(ctx)
	stop()
	os.Exit(int(code))
}

func (d Daemon[S]) run(ctx context.Context, path string) subcommands.ExitStatus {
	cfg, err := d.Read(path)
	if err != nil {
		return Fail(os.Stderr, err, ExitSettings)
	}
	process, place := d.Name(cfg)
	srv, err := d.New(cfg, logging.New(os.Stderr, process, place))
	if err != nil {
		return Fail(os.Stderr, err, ExitFailure)
	}
	if err := srv.Run(ctx); err != nil {
		return Fail(os.Stderr, err, ExitFailure)
	}
	return subcommands.ExitSuccess
}

func (d Daemon[S]) check(_ context.Context, path string) subcommands.ExitStatus {
	if _, err := d.Read(path); err != nil {
		return Fail(os.Stderr, err, ExitSettings)
	}
	fmt.Println("ok")
	return subcommands.ExitSuccess
}

// Fail prints err to w, with one line for each joined error, and returns code.
func Fail(w io.Writer, err error, code subcommands.ExitStatus) subcommands.ExitStatus {
	fmt.Fprintln(w, err)
	return code
}

// command is a subcommand whose flag names a settings file.
type command[S any] struct {
	name     string
	synopsis string
	path     string
	do       func(ctx context.Context, path string) subcommands.ExitStatus
}

// NewCommand returns a subcommand that calls do with the path of the settings file.
func NewCommand[S any](name, synopsis string, do func(ctx context.Context, path string) subcommands.ExitStatus) subcommands.Command {
	return &command[S]{name: name, synopsis: synopsis, do: do}
}

// Name implements subcommands.Command.
func (c *command[S]) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command[S]) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command[S]) Usage() string { return c.name + " -settings FILE\n" }

// SetFlags implements subcommands.Command.
func (c *command[S]) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file (INI)")
}

// Execute implements subcommands.Command.
func (c *command[S]) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" || f.NArg() > 0 {
		return Fail(os.Stderr, fmt.Errorf("usage: %s", c.Usage()), ExitSettings)
	}
	return c.do(ctx, c.path)
}
