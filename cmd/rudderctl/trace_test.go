package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTrace(t *testing.T) {
	log := `  9.5 side-1 {"level":"info","process":"side-1","task":"j1.0.0.0","time":2000000,"event":"executor_called","run":1}
no JSON j1
{"process":"core-1","task":"j1.0.0.0","time":1500000,"event":"task_placed","reason":"least cost"}
{"process":"core-1","task":"j2.0.0.0","time":1600000,"event":"task_placed"}
`
	lines, err := appendLines(nil, strings.NewReader(log), "j1")
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 2)
	assert.Equal(t, lines[0].event, "executor_called")
	text := lines[0].text(lines[1].at)
	assert.Equal(t, text, "    0.500 s  side-1               executor_called run=1 task=j1.0.0.0")
}
