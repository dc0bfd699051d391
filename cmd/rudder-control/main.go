// Command rudder-control holds a replica of the durable state. The leader among the
// control processes makes the scheduling decisions.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/control"
	"rudderfork.example/rudderfork/internal/cli"
)

func main() {
	format := cli.NewCommand[control.Settings]("format", "create a new group: run it once per group, on each founding member", format)
	cli.Daemon[control.Settings]{
		Read: control.ReadSettings,
		Name: func(cfg control.Settings) (string, rudderfork.Place) { return cfg.Name, cfg.Place },
		New:  func(cfg control.Settings, log zerolog.Logger) (cli.Server, error) { return control.New(cfg, log) },
	}.Main(format)
}

// format creates the data of a founding member, from the settings file at path.
func format(ctx context.Context, path string) subcommands.ExitStatus {
	cfg, err := control.ReadSettings(path)
	if err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitSettings)
	}
	if err := control.Format(ctx, cfg); err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitFailure)
	}
	fmt.Println("formatted", cfg.Name, "of group", cfg.Group)
	return subcommands.ExitSuccess
}
