package stall

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestObserve checks that every delay is counted and only long ones are logged.
func TestObserve(t *testing.T) {
	var out bytes.Buffer
	w := New(zerolog.New(&out))
	for _, late := range []time.Duration{-time.Millisecond, 0, logThreshold - 1} {
		w.observe(late)
	}
	assert.Equal(t, out.Len(), 0)
	w.observe(2 * logThreshold)
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line["message"], "process_stalled")
	assert.Equal(t, line["late"], float64(2*logThreshold/time.Millisecond))

	reg := prometheus.NewRegistry()
	reg.MustRegister(w.Collectors()...)
	families, err := reg.Gather()
	assert.NilError(t, err)
	assert.Equal(t, families[0].GetMetric()[0].GetHistogram().GetSampleCount(), uint64(4))
}
