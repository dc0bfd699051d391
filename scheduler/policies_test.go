package scheduler

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

func readPolicies(t *testing.T, text string) (Policies, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "scheduling.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return ReadPolicies(path)
}

// TestReadPolicies guards against a policy that is in force although no setting asks for it.
func TestReadPolicies(t *testing.T) {
	t.Run("no file", func(t *testing.T) {
		p, err := ReadPolicies("")
		assert.NilError(t, err)
		assert.DeepEqual(t, p, Policies{})
	})
	t.Run("an empty file", func(t *testing.T) {
		p, err := readPolicies(t, "")
		assert.NilError(t, err)
		assert.DeepEqual(t, p, Policies{ShareWeights: map[rudderfork.Domain]int{}})
	})
	t.Run("all", func(t *testing.T) {
		p, err := readPolicies(t, "[admission]\nrefuse=on\n[fairness]\nshare=on\nweights=north=3, south=1000\n[speeds]\nlearn=on\n[handover]\nkeep=on\n")
		assert.NilError(t, err)
		assert.DeepEqual(t, p, Policies{
			RefuseJobs: true, ShareFairly: true, ShareWeights: map[rudderfork.Domain]int{"north": 3, "south": 1000}, LearnSpeeds: true, KeepLearned: true,
		})
	})
}

// TestReadPoliciesErrors guards against invalid values that are accepted, or reported without
// their key.
func TestReadPoliciesErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[admission]\nrefuse=yes", "[admission] refuse: \"yes\" is not valid"},
		{"[handover]\nkept=on", "[handover] kept: is unknown"},
		{"[fairness]\nweights=north=0", "[fairness] weights: north=0 is not valid"},
		{"[fairness]\nweights=north=-1", "[fairness] weights: north=-1 is not valid"},
		{"[fairness]\nweights=north=1001", "[fairness] weights: north=1001 is not valid"},
		{"[fairness]\nweights=north", "[fairness] weights: \"north\" is not a pair"},
	} {
		t.Run(c.text, func(t *testing.T) {
			_, err := readPolicies(t, c.text)
			assert.ErrorContains(t, err, c.want)
		})
	}
}
