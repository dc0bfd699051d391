// Package admin serves a process's metrics, readiness and timeline over HTTP.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rudderfork.example/rudderfork/timeline"
	"rudderfork.example/rudderfork/wire"
)

// headerTimeout bounds how long a client may take to send its headers.
const headerTimeout = 5 * time.Second

// Server is the admin server of one process.
type Server struct {
	ln  net.Listener
	srv *http.Server
	mux *http.ServeMux
	reg *prometheus.Registry
}

// New returns a server on ln. ready returns an error while the process must not get
// traffic; GET /ready then answers with status 503 and its text.
func New(ln net.Listener, ring *timeline.Ring, ready func() error) *Server {
	s := &Server{ln: ln, mux: http.NewServeMux(), reg: prometheus.NewRegistry()}
	s.reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s.reg.MustRegister(wire.Collectors()...)
	s.mux.Handle("GET /metrics", promhttp.HandlerFor(s.reg, promhttp.HandlerOpts{}))
	s.mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	s.mux.HandleFunc("GET "+TimelinePath, Timeline(ring))
	s.srv = &http.Server{Handler: s.mux, ReadHeaderTimeout: headerTimeout}
	return s
}

// TimelinePath is the path at which a process serves the events of its timeline.
const TimelinePath = "/timeline"

// Timeline returns a handler that serves the events of ring as JSON: the newest "limit"
// events after the time "after" (Unix µs) whose subject contains "subject".
func Timeline(ring *timeline.Ring) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
		limit, _ := strconv.Atoi(r.FormValue("limit"))
		WriteJSON(w, ring.Select(timeline.Query{Subject: r.FormValue("subject"), After: after, Limit: limit}))
	}
}

// Registry returns the registry for the process's metrics.
func (s *Server) Registry() *prometheus.Registry { return s.reg }

// Handle registers a further handler of the process.
func (s *Server) Handle(pattern string, h http.HandlerFunc) { s.mux.HandleFunc(pattern, h) }

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) error { return ServeHTTP(ctx, s.srv, s.ln) }

// String names the service in the supervisor's log.
func (s *Server) String() string { return "admin" }

// ServeHTTP serves until ctx is done, then closes the server without waiting for
// requests in progress.
func ServeHTTP(ctx context.Context, srv *http.Server, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}

// WriteJSON writes v as a complete JSON response.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	EncodeJSON(w, v)
}

// EncodeJSON writes v as the body of a response whose header is already set.
func EncodeJSON(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
