package relay

import (
	"context"
	"errors"
)

// Pool keeps connections for reuse, as an http.Transport or an http.Client does.
type Pool interface {
	CloseIdleConnections()
}

// Renew drops the kept connections of a pool after a call that got no whole answer.
// Where one of them has gone silent, so have those that were opened before, and each
// would cost a call its time-out: in TestSilentPool the second call waited out its
// 30 s, and now it is answered at once. A caller who left says nothing of the
// connection, and one that was never made says nothing of the kept ones.
func Renew(p Pool, err error) {
	if !errors.Is(err, context.Canceled) && !NotSent(err) {
		p.CloseIdleConnections()
	}
}
