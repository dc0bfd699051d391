// Package daemon holds the code that the long-running processes share: their two
// listeners, supervision, and a graceful shutdown.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

// Listen opens the listeners for traffic and for the admin server, at the given TCP
// addresses.
func Listen(traffic, admin string) (ln, adminLn net.Listener, err error) {
	if ln, err = net.Listen("tcp", traffic); err != nil {
		return nil, nil, err
	}
	if adminLn, err = net.Listen("tcp", admin); err != nil {
		return nil, nil, errors.Join(err, ln.Close())
	}
	return ln, adminLn, nil
}

// Supervisor returns a supervisor that logs its events as warnings.
func Supervisor(name string, log zerolog.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: func(e suture.Event) {
		log.Warn().Str("detail", e.String()).Msg("supervisor")
	}})
}

// Run serves srv on ln and runs sup until ctx is done. Then it calls stop while both
// still run, and returns the error of stop. If srv or sup ends earlier, Run returns its
// error without calling stop.
func Run(ctx context.Context, sup *suture.Supervisor, srv *http.Server, ln net.Listener, stop func(ctx context.Context) error) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := sup.ServeBackground(inner)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	select {
	case err := <-served:
		return err
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return stop(inner)
}
