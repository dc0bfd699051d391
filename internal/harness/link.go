package harness

import (
	"context"
	"fmt"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/internal/faultlink"
)

// Link is a network path from one process to another through two proxies in series: one
// injects faults into all connections, and the other blackholes the open connections
// while new ones work.
type Link struct {
	proxy     *toxiproxy.Proxy
	connProxy *faultlink.Proxy
}

// noListenerAddr is the target of a link before the target process has started. Nothing
// listens there.
const noListenerAddr = "127.0.0.1:1"

var server = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())

func newLink(name string) (*Link, error) {
	connProxy, err := faultlink.New(noListenerAddr)
	if err != nil {
		return nil, err
	}
	p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", connProxy.Addr())
	if err := p.Start(); err != nil {
		connProxy.Close()
		return nil, err
	}
	return &Link{p, connProxy}, nil
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string { return l.proxy.Listen }

// setTarget changes the target. If it differs, open connections are closed.
func (l *Link) setTarget(target string) {
	if l.connProxy.Target() != target {
		l.connProxy.SetTarget(target)
	}
}

// Blackhole discards all further bytes of the open connections, in both directions. New
// connections work.
func (l *Link) Blackhole() { l.connProxy.Blackhole(faultlink.ToTarget, faultlink.ToDialer) }

// Cut discards all bytes in both directions until Heal, without closing connections.
func (l *Link) Cut() { l.CutOneWay(true); l.CutOneWay(false) }

// CutOneWay discards all bytes in one direction until Heal: to the target, or to the
// process that dials.
func (l *Link) CutOneWay(toTarget bool) { l.addToxic(toTarget, "timeout", `{"timeout": 0}`) }

// Delay adds ms ± jitter milliseconds in each direction.
func (l *Link) Delay(ms, jitter int) {
	for _, toTarget := range []bool{true, false} {
		l.addToxic(toTarget, "latency", fmt.Sprintf(`{"latency": %d, "jitter": %d}`, ms, jitter))
	}
}

// LoseAnswers closes each connection after n bytes of responses.
func (l *Link) LoseAnswers(n int) { l.addToxic(false, "limit_data", fmt.Sprintf(`{"bytes": %d}`, n)) }

// Heal removes all faults except those of Blackhole and Break. Connections that were cut
// are closed.
func (l *Link) Heal() { l.proxy.Toxics.ResetToxics(context.Background()) }

// Break closes all connections and refuses new ones until Mend.
func (l *Link) Break() { l.proxy.Stop() }

// Mend accepts connections again after Break.
func (l *Link) Mend() error { return l.proxy.Start() }

// addToxic adds a fault in one direction.
func (l *Link) addToxic(toTarget bool, typ, attributes string) {
	dir := "downstream"
	if toTarget {
		dir = "upstream"
	}
	spec := fmt.Sprintf(`{"type": %q, "stream": %q, "name": "%s-%s", "attributes": %s}`, typ, dir, typ, dir, attributes)
	// It fails if the fault has been added already.
	_, _ = l.proxy.Toxics.AddToxicJson(strings.NewReader(spec))
}
