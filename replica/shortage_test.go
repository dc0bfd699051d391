package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestVoterShortage checks that a shortage of voters is reported after shortageDelay, and once for
// each shortage and term.
func TestVoterShortage(t *testing.T) {
	const voters = 2
	at := time.Unix(1000, 0)
	t.Run("a shortage is reported once, after the others had time to join", func(t *testing.T) {
		var s voterShortage
		assert.Assert(t, !s.ShouldWarn(1, voters, 3, at))
		assert.Assert(t, s.ShouldWarn(1, voters, 3, at.Add(shortageDelay)))
		assert.Assert(t, !s.ShouldWarn(1, voters, 3, at.Add(2*shortageDelay)))
		assert.Assert(t, !s.ShouldWarn(2, voters, 3, at.Add(2*shortageDelay)))
		assert.Assert(t, s.ShouldWarn(2, voters, 3, at.Add(3*shortageDelay)))
	})
	t.Run("a later shortage is reported again", func(t *testing.T) {
		var s voterShortage
		assert.Assert(t, !s.ShouldWarn(1, 3, 3, at.Add(2*shortageDelay)))
		assert.Assert(t, !s.ShouldWarn(1, voters, 3, at.Add(3*shortageDelay)))
		assert.Assert(t, s.ShouldWarn(1, voters, 3, at.Add(4*shortageDelay)))
		assert.Assert(t, !s.ShouldWarn(1, 3, 3, at.Add(5*shortageDelay)))
		assert.Assert(t, !s.ShouldWarn(1, voters, 3, at.Add(6*shortageDelay)))
		assert.Assert(t, s.ShouldWarn(1, voters, 3, at.Add(7*shortageDelay)))
	})
	t.Run("enough voters are not reported", func(t *testing.T) {
		var s voterShortage
		assert.Assert(t, !s.ShouldWarn(1, voters, 2, at))
		assert.Assert(t, !s.ShouldWarn(1, voters, 2, at.Add(shortageDelay)))
	})
}
