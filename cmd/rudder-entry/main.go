// Command rudder-entry accepts requests from callers and forwards them to upstreams.
package main

import (
	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/entry"
	"rudderfork.example/rudderfork/internal/cli"
)

func main() {
	cli.Daemon[entry.Settings]{
		Read: entry.ReadSettings,
		Name: func(cfg entry.Settings) (string, rudderfork.Place) { return cfg.Name, cfg.Place },
		New:  func(cfg entry.Settings, log zerolog.Logger) (cli.Server, error) { return entry.New(cfg, log) },
	}.Main()
}
