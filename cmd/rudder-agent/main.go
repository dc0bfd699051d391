// Command rudder-agent runs on a VM, next to its upstreams and its worker.
package main

import (
	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/agent"
	"rudderfork.example/rudderfork/internal/cli"
)

func main() {
	cli.Daemon[agent.Settings]{
		Read: agent.ReadSettings,
		Name: func(cfg agent.Settings) (string, rudderfork.Place) { return cfg.Name, cfg.Place },
		New:  func(cfg agent.Settings, log zerolog.Logger) (cli.Server, error) { return agent.New(cfg, log) },
	}.Main()
}
