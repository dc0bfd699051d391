package wire

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOutbox(t *testing.T) {
	var o Outbox[int]
	assert.Assert(t, !o.Connected())
	assert.Assert(t, !o.Send(1), "a message was queued without a session")
	queue := make(chan int, 1)
	o.Open(queue)
	assert.Assert(t, o.Connected())
	assert.Assert(t, o.Send(2))
	assert.Assert(t, !o.Send(3), "a message was queued although the queue is full")
	assert.Equal(t, <-queue, 2)
	o.Close()
	assert.Assert(t, !o.Send(4))
}

func TestCalls(t *testing.T) {
	c := NewCalls[string]()
	first, answer := c.Open()
	second, lost := c.Open()
	forgotten, _ := c.Open()
	assert.Assert(t, first != second && second != forgotten)
	c.Answer(first, "one")
	c.Answer(first, "again") // nobody waits for it
	c.Forget(forgotten)
	c.Answer(forgotten, "late")
	assert.Equal(t, <-answer, "one")
	c.End()
	_, ok := <-lost
	assert.Assert(t, !ok, "a call got an answer although the session ended before")
	c.Answer(second, "late")
}
