package bench

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCrashDays simulates days of a fleet in which some tasks crash their executors. It
// guards against poison tasks that are started again too often, jobs without poison tasks
// that fail when there are none, and crashes that keep other jobs from completing.
func TestCrashDays(t *testing.T) {
	for name, c := range map[string]struct {
		cfg            crashScenario
		maxMeanCrashes float64 // highest allowed mean number of crashes for each poison task
		minWorkDone    float64 // lowest allowed share of the baseline's completed jobs
	}{
		"a few":                          {crashScenario{vms: 13, poison: 5}, 2.2, 0.99},
		"many":                           {crashScenario{vms: 13, poison: 30}, 3, 0.9},
		"whole steps":                    {crashScenario{vms: 13, poison: 5, wholeSteps: true}, 2.2, 0.9},
		"beside ordinary crashes":        {crashScenario{vms: 13, poison: 5, crashIntervalS: 60}, 2.3, 0.95},
		"ordinary crashes by themselves": {crashScenario{vms: 13, crashIntervalS: 60}, 0, 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			f := runCrashDays(c.cfg, crashPolicies[0], 10)
			assert.Assert(t, f.afterThird <= 2, "%d starts after the third crash", f.afterThird)
			assert.Assert(t, float64(f.poisonCrashes) <= c.maxMeanCrashes*float64(f.poison), "%d crashes of %d tasks", f.poisonCrashes, f.poison)
			assert.Assert(t, float64(f.done) >= c.minWorkDone*float64(f.doneBaseline), "%d jobs of %d done", f.done, f.doneBaseline)
			if c.cfg.poison == 0 {
				assert.Equal(t, f.innocentFailed, 0)
			}
		})
	}
}
