package relay

import (
	"context"
	"errors"
)

// Pool keeps idle connections for reuse, as an http.Transport or an http.Client does.
type Pool interface {
	CloseIdleConnections()
}

// CloseIdleAfter closes the idle connections of a pool after a call that ended with
// err before its whole response was read. If one connection no longer delivers
// anything, the older ones most likely don't either, and without this each would
// cost a further call its full time-out, 30 s for example. Errors that say nothing
// about the idle connections are ignored: the caller cancelled the call, or no
// connection could be made.
func CloseIdleAfter(p Pool, err error) {
	if !errors.Is(err, context.Canceled) && !NotSent(err) {
		p.CloseIdleConnections()
	}
}
