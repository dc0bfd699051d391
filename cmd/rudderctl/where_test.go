package main

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/jobtime"
)

const whereLog = `  0.1 core-1 {"time":1000000,"event":"ask_answered","ask":"submit","path":"/holds/j1","result":"ok"}
{"time":2000000,"event":"task_placed","task":"j1.0.0.0","run":1,"to":"vm1"}
not a line of ours {
{"time":2500000,"event":"filler_paced","task":"j1.0.0.0","run":1,"percent":50}
{"time":4500000,"event":"task_ended","task":"j1.0.0.0","run":1,"how":"done"}
{"time":4600000,"event":"task_plac
`

func TestWhere(t *testing.T) {
	log := jobtime.New()
	var badLines []string
	assert.NilError(t, readEvents(log, strings.NewReader(whereLog), func(line int, _ error) { badLines = append(badLines, fmt.Sprint(line)) }))
	assert.DeepEqual(t, badLines, []string{"3", "6"})
	var b strings.Builder
	assert.NilError(t, printParts(&b, log.Jobs()))
	assert.Equal(t, b.String(), `seconds  part   jobs  spent
1.5      42.9%  1     at work
1.0      28.6%  1     paced down
1.0      28.6%  1     waiting for a place
3.5      100%   1     in all
`)
}
