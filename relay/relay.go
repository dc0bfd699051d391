// Package relay has what entries and agents share to forward one HTTP request
// and its response: from entry to agent, and from agent to upstream.
//
// Every request has a connection to itself while it runs (HTTP/1.1), so a
// response cannot reach another caller. Bodies stream with back-pressure: the copy
// reads no more than the other side has accepted. A response that is cut off is
// cut off towards the caller too, never ended as if it were complete.
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
	HeaderTeam       = "Rudderfork-Team"       // team whose share of the service the request uses
	HeaderRepeatable = "Rudderfork-Repeatable" // "yes": the request may safely run more than once
	HeaderRequest    = "Rudderfork-Request"    // request id; the entry sets one if it is missing
	HeaderKey        = "Idempotency-Key"       // marks a request that must run at most once
	HeaderUpstream   = "Rudderfork-Upstream"   // on responses: the VM that sent it
	HeaderReplayed   = "Rudderfork-Replayed"   // on responses: "yes" for a recorded one

	// Between entry and agent only.
	HeaderService = "Rudderfork-Service"
	HeaderClaim   = "Rudderfork-Claim"   // fencing token of the claim
	HeaderBoot    = "Rudderfork-Boot"    // boot ID of the agent that the claim names; each start has its own
	HeaderExpires = "Rudderfork-Expires" // expiry of the claim, Unix ms
	HeaderLoad    = "Rudderfork-Load"    // on responses: see EncodeLoad
	HeaderInterim = "Rudderfork-Signs"   // "yes": requests interim responses (SendInterim)
)

// internal are the headers that are neither accepted from a caller nor sent to one.
var internal = []string{HeaderService, HeaderClaim, HeaderBoot, HeaderExpires, HeaderLoad, HeaderInterim}

// hopByHop are the headers of one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyBuffer is the size of the buffer through which a body is copied, in bytes. No
// more of the body is held in memory.
const copyBuffer = 16 << 10

// CopyHeader copies all headers except hop-by-hop and internal ones.
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

// HideKey spells the name of the idempotency key in lower case, so that net/http's
// client does not recognise it. The client regards a request with that header as
// repeatable and sends it again by itself when a reused connection breaks. On the
// wire the two spellings are the same header.
func HideKey(h http.Header) {
	if vs, ok := h[HeaderKey]; ok {
		delete(h, HeaderKey)
		h[strings.ToLower(HeaderKey)] = vs
	}
}

// WriteResponse copies a response to w as it arrives. If reading it fails, or if the
// caller accepts nothing for writeStall, WriteResponse panics with
// http.ErrAbortHandler, on which net/http aborts the caller's connection. tee, if
// not nil, gets a copy of the body.
func WriteResponse(w http.ResponseWriter, resp *http.Response, tee io.Writer) {
	writeResponse(w, resp, tee, writeStall)
}

func writeResponse(w http.ResponseWriter, resp *http.Response, tee io.Writer, stall time.Duration) {
	CopyHeader(w.Header(), resp.Header)
	rc := http.NewResponseController(w)
	setTimeout := func(d time.Duration) { _ = rc.SetWriteDeadline(deadlineAfter(d)) } // fails if the connection is closed
	defer setTimeout(0)                                                               // the connection may be reused
	setTimeout(stall)
	w.WriteHeader(resp.StatusCode)
	stream := resp.ContentLength < 0
	if stream {
		_ = rc.Flush() // the first bytes of a feed may come much later
	}
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if tee != nil {
				_, _ = tee.Write(buf[:n]) // Capture.Write never fails
			}
			setTimeout(stall)
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

// NotSent reports whether err means that no byte of the request was sent, because
// no connection could be made.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
}

// Deadline returns the deadline in the headers of a request, and the zero time if
// there is none. An error means that the header's value is not a time.
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

// IsFeed reports whether a request is for a feed, a response that stays open. A feed
// holds a connection but no slot.
func IsFeed(h http.Header) bool {
	a := h.Get("Accept")
	return strings.HasPrefix(a, "text/event-stream") || strings.HasPrefix(a, "audio/")
}

// IsSafe reports whether a method is safe, that is, read-only (RFC 9110, section 9.2.1).
func IsSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// EncodeLoad returns a load as the value of HeaderLoad: requests in flight, queued
// requests, slots, latency in microseconds, and 1 if the upstream is leaving. The
// value doesn't contain Down.
func EncodeLoad(l rudderfork.Load) string {
	leaving := 0
	if l.Leaving {
		leaving = 1
	}
	return fmt.Sprintf("%d %d %d %d %d", l.InFlight, l.Queued, l.Slots, l.Latency.Microseconds(), leaving)
}

// DecodeLoad decodes a load that EncodeLoad has encoded. ok is false if s is malformed.
func DecodeLoad(s string) (l rudderfork.Load, ok bool) {
	var us int64
	var leaving int
	n, err := fmt.Sscanf(s, "%d %d %d %d %d", &l.InFlight, &l.Queued, &l.Slots, &us, &leaving)
	l.Latency = time.Duration(us) * time.Microsecond
	l.Leaving = leaving != 0
	return l, err == nil && n == 5
}
