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

// deployFile has the words that the platform starts each program with. Its lines are
// such that an ini reader takes them.
const deployFile = "../../deploy/system.toml"

// shares says which part of its class of machines runs a role. All core machines run
// the control program: with one a failure domain, three or four voted where five are
// needed to bear the loss of two disks.
var shares = map[string]string{"control": "1.0", "entry": "1.0", "agent": ""}

// TestDeployFile starts, as far as the command line goes, what the deploy file runs.
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
