package main

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"testing"

	"gopkg.in/ini.v1"
	"gotest.tools/v3/assert"
)

// deployFile has the command lines with which the platform starts each role. It is
// TOML, but restricted to what an ini parser accepts.
const deployFile = "../../deploy/system.toml"

// shares has, for each role, the share of its class of machines that runs it. All core
// machines run the control role: with one machine per failure domain there would be only
// three or four voters, and five are needed to tolerate the loss of two disks.
var shares = map[string]string{"control": "1.0", "entry": "1.0", "agent": ""}

// TestDeployFile parses the command lines of the deploy file with the flags of each
// role: a subcommand or flag that doesn't exist would keep the role from starting.
func TestDeployFile(t *testing.T) {
	deploy, err := ini.Load(deployFile)
	assert.NilError(t, err)
	for _, r := range roles() {
		t.Run(r.Name(), func(t *testing.T) {
			section := deploy.Section("roles." + r.Name())
			words := strings.Fields(section.Key("run").String())
			assert.Assert(t, len(words) >= 2, "run is %q", words)
			assert.Equal(t, words[1], r.Name())
			f := flag.NewFlagSet(r.Name(), flag.ContinueOnError)
			f.SetOutput(io.Discard)
			r.SetFlags(f)
			assert.NilError(t, f.Parse(words[2:]))
			assert.Equal(t, f.NArg(), 0)
			assert.Equal(t, section.Key("share").String(), shares[r.Name()])
			assert.Equal(t, section.Key("metrics").String(), fmt.Sprintf("%d/metrics", r.metricsPort))
		})
	}
}
