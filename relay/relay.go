// Package relay passes one HTTP request on and its answer back: from entry to
// agent, and from agent to upstream.
//
// Every request has a connection to itself while it runs (HTTP/1.1), so an
// answer cannot reach another caller. Bodies stream with back-pressure: the copy
// reads no more than the other side has taken. An answer that breaks off is
// broken off towards the caller too, never closed as if it were whole.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"rudderfork.example/rudderfork"
)

// The headers between callers, entries and agents; docs/API.md describes them.
const (
	HeaderDeadline   = "Rudderfork-Deadline"   // Unix ms or RFC 3339
	HeaderTeam       = "Rudderfork-Team"       // whose share it counts against
	HeaderRepeatable = "Rudderfork-Repeatable" // "yes": running it twice does no harm
	HeaderRequest    = "Rudderfork-Request"    // id, given by the entry if missing
	HeaderKey        = "Idempotency-Key"       // of a request that must not run twice
	HeaderUpstream   = "Rudderfork-Upstream"   // on answers: the VM that gave it
	HeaderReplayed   = "Rudderfork-Replayed"   // on answers: "yes" for a recorded one

	// Between entry and agent only.
	HeaderService = "Rudderfork-Service"
	HeaderClaim   = "Rudderfork-Claim"   // token
	HeaderBoot    = "Rudderfork-Boot"    // of the agent that the claim names
	HeaderExpires = "Rudderfork-Expires" // of the claim, Unix ms
	HeaderLoad    = "Rudderfork-Load"    // on answers
	HeaderSigns   = "Rudderfork-Signs"   // "yes": asks for signs of life
)

// internal are the headers that never come from or reach a caller.
var internal = []string{HeaderService, HeaderClaim, HeaderBoot, HeaderExpires, HeaderLoad, HeaderSigns}

// hopByHop are the headers of one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyBuffer is the size of the buffer of one copy, in bytes: all that a body
// takes in memory here.
const copyBuffer = 16 << 10

// CopyHeader copies headers but those of one connection and internal ones.
func CopyHeader(dst, src http.Header) {
	skip := map[string]bool{}
	for _, h := range hopByHop {
		skip[h] = true
	}
	for _, h := range internal {
		skip[h] = true
	}
	for _, h := range strings.Split(src.Get("Connection"), ",") {
		skip[http.CanonicalHeaderKey(strings.TrimSpace(h))] = true
	}
	for k, vs := range src {
		if !skip[http.CanonicalHeaderKey(k)] {
			dst[k] = append([]string(nil), vs...)
		}
	}
}

// HideKey renames the idempotency key so that the standard client does not see
// it. The client takes a request with that header for one that may be repeated,
// and sends it again by itself when a kept connection breaks; on the wire the
// two spellings are the same header.
func HideKey(h http.Header) {
	if vs, ok := h[HeaderKey]; ok {
		delete(h, HeaderKey)
		h[strings.ToLower(HeaderKey)] = vs
	}
}

// WriteAnswer passes an answer on as it comes. If it breaks off, so does the
// answer to the caller: WriteAnswer panics with http.ErrAbortHandler, which
// net/http takes as the order to cut the connection. So it is if the caller takes
// nothing for writeStall. tee, if not nil, gets a copy of the body.
func WriteAnswer(w http.ResponseWriter, resp *http.Response, tee io.Writer) {
	writeAnswer(w, resp, tee, writeStall)
}

func writeAnswer(w http.ResponseWriter, resp *http.Response, tee io.Writer, stall time.Duration) {
	CopyHeader(w.Header(), resp.Header)
	rc := http.NewResponseController(w)
	bound := func(d time.Duration) { _ = rc.SetWriteDeadline(after(d)) } // fails if the connection is gone
	defer bound(0)                                                       // the connection may be kept
	bound(stall)
	w.WriteHeader(resp.StatusCode)
	stream := resp.ContentLength < 0
	if stream {
		_ = rc.Flush() // the first bytes of a feed may be long in coming
	}
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if tee != nil {
				_, _ = tee.Write(buf[:n]) // a capture never fails
			}
			bound(stall)
			if _, werr := w.Write(buf[:n]); werr != nil {
				panic(http.ErrAbortHandler)
			}
			if stream {
				_ = rc.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// NotSent reports whether err says that no byte of the request left: the
// connection could not be made.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
}

// Deadline reads the deadline of a request; the zero time if it has none.
func Deadline(h http.Header) (t time.Time, err error) {
	v := h.Get(HeaderDeadline)
	if v == "" {
		return t, nil
	}
	if ms, err := strconv.ParseInt(v, 10, 64); err == nil {
		return rudderfork.FromMillis(ms), nil
	}
	t, err = time.Parse(time.RFC3339Nano, v)
	if err != nil {
		return t, fmt.Errorf("%s: %q is no time; want Unix milliseconds or RFC 3339", HeaderDeadline, v)
	}
	return t, nil
}

// Feed reports whether a request asks for a feed, which stays open and holds a
// connection but no slot.
func Feed(h http.Header) bool {
	a := h.Get("Accept")
	return strings.HasPrefix(a, "text/event-stream") || strings.HasPrefix(a, "audio/")
}

// Safe reports whether a method does nothing (RFC 9110, section 9.2.1).
func Safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// EncodeLoad gives a load as a header.
func EncodeLoad(l rudderfork.Load) string {
	leaving := 0
	if l.Leaving {
		leaving = 1
	}
	return fmt.Sprintf("%d %d %d %d %d", l.InFlight, l.Queued, l.Slots, l.Latency.Microseconds(), leaving)
}

// DecodeLoad is the inverse of EncodeLoad; ok is false for anything else.
func DecodeLoad(s string) (l rudderfork.Load, ok bool) {
	var us int64
	var leaving int
	n, err := fmt.Sscanf(s, "%d %d %d %d %d", &l.InFlight, &l.Queued, &l.Slots, &us, &leaving)
	l.Latency = time.Duration(us) * time.Microsecond
	l.Leaving = leaving != 0
	return l, err == nil && n == 5
}
