//go:build review

package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is how long a machine's upkeep takes: upkeep_s.
const upkeepTime = 2 * time.Second

// Order is an order for a machine, as the stand-in has received it.
type Order struct {
	At      time.Time
	Machine string
	Wave    int
	Holder  string
	Fence   int
}

// Cloud is a stand-in for the service that manages machines. It does not check fences
// (fencing_required is false).
type Cloud struct {
	site    *Site
	runners []*Runner

	mu     sync.Mutex
	delay  time.Duration // how long the answer to a reading of the list takes
	lists  int           // answered readings of the list
	orders []Order
	down   map[string]bool // machines in upkeep
	done   map[string]int  // last wave in which a machine's upkeep began
}

// NewCloud serves the machines of the runners.
func NewCloud(s *Site, runners []*Runner) (c *Cloud, err error) {
	c = &Cloud{site: s, runners: runners, down: map[string]bool{}, done: map[string]int{}}
	ln, err := net.Listen("tcp", s.Cloud)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST "+Names.UpkeepPath, c.upkeep)
	go func() { _ = http.Serve(ln, mux) }() // serves until the case ends
	return c, nil
}

func (c *Cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.site.Record.Add("cloud: the list of machines is read")
	c.mu.Lock()
	delay := c.delay
	c.mu.Unlock()
	time.Sleep(delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists++
	machines := []any{}
	for _, r := range c.runners {
		state := "up"
		if c.down[r.machine] {
			state = "upkeep"
		}
		machines = append(machines, map[string]any{
			"machine": r.machine, "pool": Service, "state": state, "zone": zones[r.index%3], "labels": []string{"a", "r1-1"},
			"capacity": map[string]int{"cpu": r.cpu, Names.Memory: r.mem, "gpu": 0}, "id": r.Life(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": machines, "next_token": nil})
}

func (c *Cloud) upkeep(w http.ResponseWriter, req *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	_ = json.NewDecoder(req.Body).Decode(&b) // an unreadable body names no machine
	fence, _ := strconv.Atoi(req.Header.Get(Names.FenceHeader))
	c.mu.Lock()
	defer c.mu.Unlock()
	o := Order{time.Now(), b.Machine, b.Wave, req.Header.Get(Names.HolderHeader), fence}
	c.orders = append(c.orders, o)
	status, reason := c.begin(b.Machine, b.Wave)
	c.site.Record.Add("cloud: upkeep of %s, wave %d, holder %s, fence %d -> %d %s", o.Machine, o.Wave, o.Holder, o.Fence, status, reason)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if reason != "" {
		_ = json.NewEncoder(w).Encode(map[string]string{"reason": reason})
	}
}

// begin begins the upkeep of a machine, unless it has begun in this wave already. The caller holds mu.
func (c *Cloud) begin(machine string, wave int) (status int, reason string) {
	for _, r := range c.runners {
		if r.machine != machine {
			continue
		}
		if c.done[machine] >= wave {
			return http.StatusOK, ""
		}
		if c.down[machine] {
			return http.StatusConflict, "busy"
		}
		c.done[machine], c.down[machine] = wave, true
		r.End()
		time.AfterFunc(upkeepTime, func() {
			_ = r.Start() // the next life
			c.mu.Lock()
			defer c.mu.Unlock()
			c.down[machine] = false
		})
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// Slow makes the answer to each reading of the list take that long.
func (c *Cloud) Slow(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = delay
}

// Lists returns how many readings of the list were answered.
func (c *Cloud) Lists() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lists
}

// Up reports whether a machine is not in upkeep.
func (c *Cloud) Up(machine string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.down[machine]
}

// Orders returns the orders so far.
func (c *Cloud) Orders() []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Order(nil), c.orders...)
}
