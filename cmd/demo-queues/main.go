// Command demo-queues shows the queues on the platform's interfaces, without the
// platform: real programs on loopback, stand-ins for executors, operator and
// client. It exits with 1 if anything is not as it should be.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/operator"
	"rudderfork.example/rudderfork/platform/standin"
	"rudderfork.example/rudderfork/standin/executor"
)

const (
	// limit bounds the whole demo.
	limit = 60 * time.Second
	// pause is between two looks at a condition.
	pause = 50 * time.Millisecond
	cores = 3
	sides = 2
	host  = "desk.example"
)

func main() {
	bin := flag.String("bin", "bin", "folder with the programs")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	err := run(ctx, *bin)
	cancel()
	if err != nil {
		fmt.Println("DEMO FAILED:", err)
		os.Exit(1)
	}
	fmt.Println("DEMO PASSED")
}

func run(ctx context.Context, bin string) (err error) {
	bin, err = filepath.Abs(bin)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "rudderfork-queues-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	site, err := standin.NewSite(bin, dir, cores, 1)
	if err != nil {
		return err
	}
	defer site.Close()
	d := &demo{ctx: ctx, site: site, bin: bin, dir: dir}
	for _, step := range []func() error{d.start, d.document, d.feed, d.roster, d.killLeader, d.startAgain, d.show, d.evacuate, d.cancel} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// demo is one run.
type demo struct {
	ctx      context.Context
	site     *standin.Site
	bin, dir string
}

func say(format string, args ...any) { fmt.Printf("== "+format+"\n", args...) }

// start starts one program a machine.
func (d *demo) start() error {
	say("three core machines, two side machines with executors, one edge machine")
	for i := range cores {
		if err := d.site.StartCore(i, true); err != nil {
			return err
		}
	}
	for range sides {
		room := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 8000}
		if err := d.site.StartSide(executor.Config{Now: steady.Now, Capacity: room}); err != nil {
			return err
		}
	}
	return d.site.StartEntry(0)
}

// until waits for a condition.
func (d *demo) until(what string, ok func() bool) error {
	for !ok() {
		select {
		case <-d.ctx.Done():
			return errors.New("it did not come to pass that " + what)
		case <-time.After(pause):
		}
	}
	return nil
}

func (d *demo) document() error {
	say("the operator puts the document of queues")
	doc := standin.Document(1, "rosters", host, "/rosters/", "desk")
	return d.until("the document is taken", func() bool {
		status, _, err := standin.Call(d.ctx, http.MethodPut, "http://"+d.site.ControlAddr(0)+"/config", "", doc)
		return err == nil && status == http.StatusOK
	})
}

func (d *demo) call(method, id string, body any) (status int, answer []byte) {
	status, answer, err := standin.Call(d.ctx, method, "http://"+d.site.FrontAddr(0)+"/rosters/"+id, host, body)
	if err != nil {
		return 0, nil
	}
	return status, answer
}

func (d *demo) submit(id, payload string, steps ...standin.JobStep) error {
	return d.until(id+" is accepted", func() bool {
		status, _ := d.call(http.MethodPost, id, standin.Job(payload, steps...))
		return status == http.StatusOK
	})
}

func (d *demo) state(id string) string {
	var b struct {
		State string `json:"state"`
	}
	_, answer := d.call(http.MethodGet, id, nil)
	_ = json.Unmarshal(answer, &b) // without a state it is asked again
	return b.State
}

func (d *demo) atWork() (n int) {
	for _, e := range d.site.Execs {
		for _, r := range e.Running() {
			if strings.HasPrefix(string(r.Task), "feed1.") {
				n++
			}
		}
	}
	return n
}

func (d *demo) feed() error {
	say("a client hands in a job whose two tasks last")
	if err := d.submit("feed1", "", standin.JobStep{Count: 2, CPUMilli: 1000, Lasting: true, MaxPerVM: 1}); err != nil {
		return err
	}
	return d.until("the feed is at work on both machines", func() bool { return d.atWork() == 2 })
}

func (d *demo) roster() error {
	say("and one of two steps: four tasks, then one that needs them all")
	began := time.Now()
	if err := d.submit("roster1", "work=300ms",
		standin.JobStep{Count: 4, CPUMilli: 500, ExpectedMS: 300},
		standin.JobStep{Count: 1, CPUMilli: 500, ExpectedMS: 300, After: []int{0}}); err != nil {
		return err
	}
	if err := d.until("the roster is completed", func() bool { return d.state("roster1") == "completed" }); err != nil {
		return err
	}
	say("completed after %d ms, of which 600 ms are work", time.Since(began).Milliseconds())
	return nil
}

// killLeader kills the leader with a job on its way.
func (d *demo) killLeader() error {
	op := operator.New(d.site.OperatorAddrs())
	at := d.site.Leader(d.ctx)
	if at < 0 {
		return errors.New("nobody leads")
	}
	leader := fmt.Sprintf("core-%d", at+1)
	if err := d.submit("roster2", "work=500ms", standin.JobStep{Count: 6, CPUMilli: 500, ExpectedMS: 500}); err != nil {
		return err
	}
	say("kill -9 %s, which leads, while roster2 runs", leader)
	if err := d.site.Kill(leader); err != nil {
		return err
	}
	began := time.Now()
	if err := d.until("another leads", func() bool { _, err := op.Queues(d.ctx); return err == nil }); err != nil {
		return err
	}
	say("another leads after %d ms", time.Since(began).Milliseconds())
	if err := d.until("roster2 is completed", func() bool { return d.state("roster2") == "completed" }); err != nil {
		return err
	}
	if err := d.ranOnce(op, "roster2"); err != nil {
		return err
	}
	if n := d.atWork(); n != 2 {
		return fmt.Errorf("%d tasks of the feed are at work; want 2", n)
	}
	say("each of its tasks ran once, and the feed never stopped")
	return nil
}

// ranOnce holds that each task of a job was started once.
func (d *demo) ranOnce(op *operator.Client, job string) error {
	j, err := op.QueueJob(d.ctx, job)
	if err != nil {
		return err
	}
	for _, t := range j.Tasks {
		if t.Runs != 1 {
			return fmt.Errorf("%s was started %d times", t.Task, t.Runs)
		}
	}
	return nil
}

// startAgain has an executor crash, and start again under the id that it had.
func (d *demo) startAgain() error {
	say("the executor of side-1 crashes, and starts again under its id, with all its counts anew")
	began := time.Now()
	d.site.Runners[0].StartAgain()
	if err := d.until("the feed's task there is at work again", func() bool { return d.atWork() == 2 }); err != nil {
		return err
	}
	say("its task of the feed is at work again after %d ms", time.Since(began).Milliseconds())
	if err := d.submit("roster4", "work=100ms", standin.JobStep{Count: 6, CPUMilli: 500, ExpectedMS: 100}); err != nil {
		return err
	}
	if err := d.until("roster4 is completed", func() bool { return d.state("roster4") == "completed" }); err != nil {
		return err
	}
	if err := d.ranOnce(operator.New(d.site.OperatorAddrs()), "roster4"); err != nil {
		return err
	}
	say("each task of the next job ran once")
	return nil
}

// show lets rudderctl explain.
func (d *demo) show() error {
	for _, args := range [][]string{{"queues"}, {"queue-vms"}, {"queue-job", "roster2"}} {
		if err := d.rudderctl(args...); err != nil {
			return err
		}
	}
	logs, err := filepath.Glob(filepath.Join(d.dir, "*.log"))
	if err != nil {
		return err
	}
	say("rudderctl trace roster1.0.1.0, from the logs of all processes")
	cmd := exec.CommandContext(d.ctx, filepath.Join(d.bin, "rudderctl"), append([]string{"trace", "roster1.0.1.0"}, logs...)...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd.Run()
}

// rudderctl runs an operator's command.
func (d *demo) rudderctl(args ...string) error {
	say("rudderctl %s", strings.Join(args, " "))
	control := strings.Join(d.site.OperatorAddrs(), ",")
	cmd := exec.CommandContext(d.ctx, filepath.Join(d.bin, "rudderctl"), append([]string{"-control", control}, args...)...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd.Run()
}

// evacuate empties the failure domain that all machines are in, and takes that back.
func (d *demo) evacuate() error {
	say("the operator has nothing more started in the failure domain hall")
	if err := d.rudderctl("queue-evacuate", "hall"); err != nil {
		return err
	}
	if err := d.submit("roster3", "work=100ms", standin.JobStep{Count: 2, CPUMilli: 500, ExpectedMS: 100}); err != nil {
		return err
	}
	if err := d.rudderctl("queue-evacuations"); err != nil {
		return err
	}
	if state, n := d.state("roster3"), d.atWork(); state != "queued" || n != 2 {
		return fmt.Errorf("roster3 is %s, and %d tasks of the feed are at work; want queued, and 2", state, n)
	}
	say("a new job waits, the feed runs on")
	if err := d.rudderctl("queue-evacuate", "-end", "hall"); err != nil {
		return err
	}
	if err := d.until("roster3 is completed", func() bool { return d.state("roster3") == "completed" }); err != nil {
		return err
	}
	say("taken back, it is completed")
	return nil
}

func (d *demo) cancel() error {
	say("the client cancels the feed")
	if status, _ := d.call(http.MethodDelete, "feed1", nil); status != http.StatusOK {
		return fmt.Errorf("the cancel was answered with %d", status)
	}
	return d.until("nothing of it runs", func() bool { return d.atWork() == 0 })
}
