//go:build review

// Package rig starts a small deployment for the cases of the review: the programs of
// deploy/system.toml as separate processes on loopback addresses, and stand-ins for the
// runners, the clients, the operator and the service that manages machines. The stand-ins do
// what ../../given/kit/more/system/PROTOCOL.md says, and record what they see.
package rig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Names in the manifest.
const (
	Service = "tour-desk"
	Host    = "desk.example"
	Prefix  = "/seat-hold/"
)

// Record is the file record.txt of a case. It is safe for concurrent use.
type Record struct {
	began time.Time
	mu    sync.Mutex
	f     *os.File
}

// NewRecord creates the file in a case's folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{began: time.Now(), f: f}, err
}

// Add writes a line with the time since the start of the case, in seconds.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Site is a deployment on loopback addresses. Each machine has an address of its own, and the
// ports are the same on all machines.
type Site struct {
	Record *Record
	Cloud  string // address of the service that manages machines

	dir   string // settings, logs and data
	net   int    // second byte of the addresses
	cores int

	front, ready, control, internal, app int // ports

	mu    sync.Mutex
	procs map[string]*exec.Cmd
	env   []string
}

// NewSite returns a site with a number of core machines. It starts nothing.
func NewSite(rec *Record, cores int) (s *Site, err error) {
	s = &Site{Record: rec, cores: cores, net: 40 + rand.IntN(160), procs: map[string]*exec.Cmd{}}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for _, p := range []*int{&s.front, &s.ready, &s.control, &s.internal, &s.app} {
		ln, err := net.Listen("tcp", s.CoreIP(0)+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		*p = ln.Addr().(*net.TCPAddr).Port
	}
	s.Cloud = addr(s.CloudIP(), s.control)
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		s.env = append(s.env, name+"="+os.Getenv(name))
	}
	return s, nil
}

// Addresses of machine i of each class.
func (s *Site) CoreIP(i int) string { return fmt.Sprintf("127.%d.1.%d", s.net, i+1) }
func (s *Site) SideIP(i int) string { return fmt.Sprintf("127.%d.2.%d", s.net, i+1) }
func (s *Site) EdgeIP(i int) string { return fmt.Sprintf("127.%d.3.%d", s.net, i+1) }

// CloudIP is the address of the infrastructure's own services.
func (s *Site) CloudIP() string { return fmt.Sprintf("127.%d.9.1", s.net) }

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// AppAddr is the address at which the agent of a side machine calls its runner.
func (s *Site) AppAddr(i int) string { return addr(s.SideIP(i), s.app) }

// SideControl is the address to which the runner of a side machine sends its heartbeats.
func (s *Site) SideControl(i int) string { return addr(s.SideIP(i), s.control) }

// CoreControl is the address of a core machine for the operator.
func (s *Site) CoreControl(i int) string { return addr(s.CoreIP(i), s.control) }

// Front is the address of an edge machine for clients.
func (s *Site) Front(i int) string { return addr(s.EdgeIP(i), s.front) }

// settings returns the settings file of a machine, with the keys of DEPLOY.md and the figures of
// the deployment prhta-rudder.
func (s *Site) settings(node, class, ip, zone, serves string, more ...string) string {
	var seeds []string
	for i := range min(s.cores, 3) {
		seeds = append(seeds, s.CoreControl(i))
	}
	lines := []string{
		"node_name=" + node, "role=" + class, "machine_class=" + class, "serves=" + serves, "ip=" + ip,
		"zone=" + zone, "region=kingston-parish", "zones.fort-hall=kingston-parish", "zones.harbour-hall=kingston-parish",
		"zones.downtown-hall=kingston-parish", fmt.Sprintf("internal_ports=%d,%d", s.internal, s.internal),
		"seeds=" + strings.Join(seeds, ","), "discovery=local", "entry=vip", "heartbeat_ms=1100",
		"contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
		"bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=5000", "bounds.recovery_s=12", "bounds.max_hold_ms=6000",
		"bounds.stop_ms=200", "bounds.gang_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250",
		"bounds.finish_s=14", "bounds.status_s=120", "bounds.far_x=1.5", "bounds.save_s=2", "bounds.restore_ms=100",
		"bounds.notice_ms=4500", "bounds.move_s=1.5", "bounds.upkeep_s=2", "bounds.fencing_required=false", "bounds.lease_ms=3000",
		"bounds.thaw_ms=300", "bounds.pace_ms=100", "bounds.harm_ms=4000", "config_mode=highest", "commands=invocation",
		"cloud.address=" + s.Cloud, "cloud.rate_per_s=60.0", "cloud.duties=", "cloud.duty_per_s=60.0",
	}
	return strings.Join(append(lines, more...), "\n") + "\n"
}

var zones = []string{"fort-hall", "harbour-hall", "downtown-hall"}

// StartCore starts the program of a core machine. bootstrap is true at the first start of the site.
func (s *Site) StartCore(i int, bootstrap bool) error {
	node := fmt.Sprintf("core-%d", i+1)
	return s.start(node, s.settings(node, "core", s.CoreIP(i), zones[i%3], "control_plane", fmt.Sprintf("bootstrap=%v", bootstrap),
		"in_fault_budget=true", "listen.control="+s.CoreControl(i), "data_dir="+filepath.Join(s.dir, node)),
		"control", "-metrics-port", "9464", "-scheduling", "deploy/scheduling.ini")
}

// StartSide starts the program of a side machine.
func (s *Site) StartSide(i int) error {
	node := fmt.Sprintf("side-%d", i+1)
	return s.start(node, s.settings(node, "side", s.SideIP(i), zones[i%3], "side", "bootstrap=true", "in_fault_budget=false",
		"listen.control="+s.SideControl(i), "app="+s.AppAddr(i), "service="+Service), "agent", "-metrics-port", "9464")
}

// StartEdge starts the program of an edge machine.
func (s *Site) StartEdge(i int) error {
	node := fmt.Sprintf("edge-%d", i+1)
	return s.start(node, s.settings(node, "edge", s.EdgeIP(i), zones[i%3], "edge", "bootstrap=true", "in_fault_budget=false",
		"listen.front="+s.Front(i), "listen.ready="+addr(s.EdgeIP(i), s.ready)), "entry", "-metrics-port", "9464")
}

// program is the program that the deploy file starts, below the root of the repository.
const program = "target/rudder-platform"

// start starts a program with the command of the deploy file.
func (s *Site) start(node, settings string, args ...string) error {
	path := filepath.Join(s.dir, node+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.dir, node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Env = append(slices.Clone(s.env), Names.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.procs[node] = cmd
	s.Record.Add("%s: started", node)
	return nil
}

// Signal sends a signal to the process of a machine.
func (s *Site) Signal(node string, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Record.Add("%s: signal %v", node, sig)
	_ = s.procs[node].Process.Signal(sig) // fails only if the process has ended
}

// Close kills all processes. It removes the site's folder unless REVIEW_KEEP names a folder, to
// which it is moved.
func (s *Site) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cmd := range s.procs {
		_ = cmd.Process.Kill() // fails only if the process has ended
		_ = cmd.Wait()         // reports the kill
	}
	if to := os.Getenv("REVIEW_KEEP"); to != "" {
		_ = os.Rename(s.dir, to)
		return
	}
	_ = os.RemoveAll(s.dir)
}

var client = &http.Client{
	Timeout:       time.Second,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call sends one request, and follows at most two redirects.
func call(method, url, host string, body []byte) (status int, answer []byte, err error) {
	for range 3 {
		req, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		if host != "" {
			req.Host = host
			req.Header.Set(Names.DeadlineHeader, "3000")
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			return 0, nil, err
		}
		answer, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, answer, err
		}
		url = resp.Header.Get("Location")
	}
	return 0, nil, errors.New("too many redirects")
}

// Operator sends an order of the operator to the core machines in turn until one acknowledges it.
func (s *Site) Operator(method, path string, body any, limit time.Duration) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i := range s.cores {
			status, answer, err := call(method, "http://"+s.CoreControl(i)+path, "", text)
			s.Record.Add("operator: %s %s to core-%d -> %d %v", method, path, i+1, status, err)
			if status == http.StatusOK {
				return nil
			}
			if status >= 400 && status < 500 {
				return fmt.Errorf("%s %s: status %d: %s", method, path, status, answer)
			}
		}
	}
	return fmt.Errorf("%s %s: no acknowledgement", method, path)
}

// Leader returns the core machine that answers the operator without a redirect, or -1.
func (s *Site) Leader() int {
	for i := range s.cores {
		req, _ := http.NewRequest(http.MethodGet, "http://"+s.CoreControl(i)+"/config", nil)
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return i
		}
	}
	return -1
}

// Manifest returns a manifest with the queues at the prefixes, or at Prefix if there are none. Their
// objectives are wide, so that no job is refused.
func Manifest(version int, prefixes ...string) map[string]any {
	if len(prefixes) == 0 {
		prefixes = []string{Prefix}
	}
	routes := []any{}
	for _, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": "r-" + strings.Trim(prefix, "/"), "host": Host, Names.Prefix: prefix, "route_type": "non_idempotent", "timeout_ms": 3000,
			Names.Latency: 60000, "priority": 0, "service": Service, "max_attempts": 4, "stretch": 10.0,
		})
	}
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{map[string]any{
			"name": Service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, Names.Guarded: true, "spare": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// Job is a job as a client submits it.
type Job struct {
	Spec  string
	Steps []Step
}

// MarshalJSON implements json.Marshaler.
func (j Job) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{Names.Payload: j.Spec, "steps": j.Steps})
}

// Step is a step of a job.
type Step struct {
	Count  int
	CPU    int
	Memory int
	EstMS  int
	Lasts  bool
}

// MarshalJSON implements json.Marshaler.
func (s Step) MarshalJSON() ([]byte, error) {
	fields := map[string]any{"count": s.Count, "cpu": s.CPU, Names.Memory: s.Memory, Names.Estimate: s.EstMS}
	if s.Lasts {
		fields[Names.Lasts] = true
	}
	return json.Marshal(fields)
}

// Submit hands in a job at Prefix and repeats the call until it gets a final answer, as a client does.
func (s *Site) Submit(id string, j Job) error { return s.SubmitAt(Prefix+id, j) }

// SubmitAt is Submit for a whole path.
func (s *Site) SubmitAt(path string, j Job) error {
	text, err := json.Marshal(j)
	if err != nil {
		return err
	}
	for range 20 {
		status, answer, err := call(http.MethodPost, "http://"+s.Front(0)+path, Host, text)
		s.Record.Add("client: POST %s -> %d %v", path, status, err)
		switch {
		case status == http.StatusOK:
			return nil
		case status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout && status != http.StatusServiceUnavailable:
			return fmt.Errorf("job %s: status %d: %s", path, status, answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s: not accepted", path)
}

// State returns the state of a job, as a client is told, or "" if there is no answer.
func (s *Site) State(id string) string {
	status, answer, _ := call(http.MethodGet, "http://"+s.Front(0)+Prefix+id, Host, nil)
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(answer, &b) // b stays empty
	if status != http.StatusOK {
		return ""
	}
	return b.State
}

// Cancel sends the cancelling of a job once and returns the status of the answer, 0 without one.
func (s *Site) Cancel(path string) int {
	status, _, err := call(http.MethodDelete, "http://"+s.Front(0)+path, Host, nil)
	s.Record.Add("client: DELETE %s -> %d %v", path, status, err)
	return status
}

// Troubled reports whether the case brings about its disruption: TROUBLE=0 leaves it out.
func Troubled() bool { return os.Getenv("TROUBLE") != "0" }

// Await calls f until it returns true, for at most limit.
func Await(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
