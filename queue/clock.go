package queue

// maxTickMS is the most that one command advances the state clock, ms. Leaders propose commands
// many times a second, so that a new leader whose clock is minutes ahead advances the state clock
// by no more than this. The users want the status of a finished job kept for two minutes and accept
// an error of 30 s, which covers six such jumps.
const maxTickMS = 5_000

// Clock is the time of the replicated state. It follows the clocks of the proposing leaders, but
// advances by at most maxTickMS where they jump ahead and not at all where they jump back. It stands
// still while nothing is proposed. Apart from jumps ahead, an age by this clock is at most the age by
// a steady clock.
type Clock struct {
	NowMS      int64 `cbor:"1,keyasint,omitempty"` // the state clock, ms; 0 at the first command
	ProposedMS int64 `cbor:"2,keyasint,omitempty"` // proposer's clock at the last command, Unix ms
}

// tick advances the clock to a command with the proposer's clock at, Unix ms. It returns by how
// much the state clock moved, ms.
func (c *Clock) tick(at int64) (ms int64) {
	if c.ProposedMS != 0 {
		ms = min(maxTickMS, max(0, at-c.ProposedMS))
	}
	c.NowMS += ms
	c.ProposedMS = at
	return ms
}
