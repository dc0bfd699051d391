package relay

// Capture keeps the first bytes of a body, up to a limit. It implements
// io.Writer and never fails.
type Capture struct {
	limit   int
	body    []byte
	partial bool
}

// NewCapture returns a capture of at most limit bytes.
func NewCapture(limit int) *Capture { return &Capture{limit: limit} }

// Write implements io.Writer.
func (c *Capture) Write(p []byte) (int, error) {
	free := c.limit - len(c.body)
	c.partial = c.partial || len(p) > free
	c.body = append(c.body, p[:min(len(p), free)]...)
	return len(p), nil
}

// Body returns the bytes that were kept.
func (c *Capture) Body() []byte { return c.body }

// Partial reports whether the body was longer than the limit.
func (c *Capture) Partial() bool { return c.partial }
