package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

const (
	// maxReplayBytes bounds a body that is kept for retries, in bytes.
	maxReplayBytes = 64 << 10
	// maxKeyedBytes bounds the body of a request with an idempotency key, in bytes. Such a
	// body is read whole, because its digest is part of the claim.
	maxKeyedBytes = 1 << 20
)

// body is a request's body. A body of known length up to maxReplayBytes is kept in
// memory. Any other can be sent only once, unless buffer has read it.
type body struct {
	src      io.ReadCloser
	length   int64 // in bytes; -1 if unknown
	kept     []byte
	whole    bool // kept holds the whole body
	streamed bool // the body has been passed to an attempt without being kept
}

func newBody(r *http.Request) *body {
	b := &body{src: r.Body, length: r.ContentLength}
	if r.ContentLength == 0 || r.Body == nil {
		b.whole = true
	} else if r.ContentLength > 0 && r.ContentLength <= maxReplayBytes {
		// If the body is cut off, sending it fails with the same error.
		if kept, err := io.ReadAll(r.Body); err == nil {
			b.kept, b.whole = kept, true
		} else {
			b.src = io.NopCloser(io.MultiReader(bytes.NewReader(kept), &errReader{err}))
		}
	}
	return b
}

// errReader returns err on every read.
type errReader struct{ err error }

// Read implements io.Reader.
func (e *errReader) Read([]byte) (int, error) { return 0, e.err }

// buffer reads the whole body into memory. It returns errTooLarge if the body is larger
// than maxKeyedBytes.
func (b *body) buffer() error {
	if b.whole {
		return nil
	}
	kept, err := io.ReadAll(io.LimitReader(b.src, maxKeyedBytes+1))
	if err != nil {
		return err
	}
	if len(kept) > maxKeyedBytes {
		return errTooLarge
	}
	b.kept, b.whole, b.length = kept, true, int64(len(kept))
	return nil
}

var errTooLarge = errors.New("the body is too large")

// canSend reports whether an attempt can send the body: it is kept, or has not been
// passed to an earlier attempt.
func (b *body) canSend() bool { return b.whole || !b.streamed }

// attach sets the body of a request. It never sets GetBody, so that net/http's client
// cannot repeat the request by itself.
func (b *body) attach(req *http.Request) {
	switch {
	case b.whole && len(b.kept) == 0:
	case b.whole:
		req.Body = io.NopCloser(bytes.NewReader(b.kept))
		req.ContentLength = int64(len(b.kept))
	default:
		b.streamed = true
		req.Body = struct{ io.ReadCloser }{b.src}
		req.ContentLength = b.length
	}
}
