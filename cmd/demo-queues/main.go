// Command demo-queues demonstrates the queues through the platform's interfaces, without
// the platform: it runs the real binaries on loopback, with stand-ins for the executors,
// the operator and the client. It exits with 1 if a step fails.
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
	// limit is the time limit of the whole demo.
	limit = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	coreMachines = 3
	sideMachines = 2
	host         = "desk.example"
)

func main() {
	bin := flag.String("bin", "bin", "folder of the binaries")
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
	site, err := standin.NewSite(bin, dir, coreMachines, 1)
	if err != nil {
		return err
	}
	defer site.Close()
	d := &demo{ctx: ctx, site: site, bin: bin, dir: dir}
	for _, step := range []func() error{d.start, d.putDocument, d.feed, d.roster, d.killLeader, d.restartExecutor, d.show, d.evacuate, d.cancel} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// demo is the state that the steps share.
type demo struct {
	ctx      context.Context
	site     *standin.Site
	bin, dir string
}

// say prints a headline of the demo.
func say(format string, args ...any) { fmt.Printf("== "+format+"\n", args...) }

// start starts the control, agent and entry processes, one per simulated VM.
func (d *demo) start() error {
	say("three core machines, two side machines with executors, one edge machine")
	for i := range coreMachines {
		if err := d.site.StartCore(i, true); err != nil {
			return err
		}
	}
	for range sideMachines {
		capacity := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 8000}
		if err := d.site.StartSide(executor.Config{Now: steady.Now, Capacity: capacity}); err != nil {
			return err
		}
	}
	return d.site.StartEntry(0)
}

// until polls a condition until it holds. It fails when the demo's time is up.
func (d *demo) until(what string, ok func() bool) error {
	for !ok() {
		select {
		case <-d.ctx.Done():
			return errors.New("timed out waiting until " + what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// putDocument configures a queue.
func (d *demo) putDocument() error {
	say("the operator uploads the queues' configuration document")
	doc := standin.Document(1, "rosters", host, "/rosters/", "desk")
	return d.until("the document is accepted", func() bool {
		status, _, err := standin.Call(d.ctx, http.MethodPut, "http://"+d.site.ControlAddr(0)+"/config", "", doc)
		return err == nil && status == http.StatusOK
	})
}

// call sends a request about the job id to the entry. The status is 0 if there is no
// response.
func (d *demo) call(method, id string, body any) (status int, answer []byte) {
	status, answer, err := standin.Call(d.ctx, method, "http://"+d.site.FrontAddr(0)+"/rosters/"+id, host, body)
	if err != nil {
		return 0, nil
	}
	return status, answer
}

// submit submits a job, and retries until it is accepted.
func (d *demo) submit(id, payload string, steps ...standin.JobStep) error {
	return d.until(id+" is accepted", func() bool {
		status, _ := d.call(http.MethodPost, id, standin.Job(payload, steps...))
		return status == http.StatusOK
	})
}

// state returns the state of a job, or "" if it could not be read.
func (d *demo) state(id string) string {
	var b struct {
		State string `json:"state"`
	}
	_, answer := d.call(http.MethodGet, id, nil)
	_ = json.Unmarshal(answer, &b) // b.State stays empty, and the caller polls again
	return b.State
}

// feedRuns returns the number of tasks of job feed1 that the executors run.
func (d *demo) feedRuns() (n int) {
	for _, e := range d.site.Execs {
		for _, r := range e.Running() {
			if strings.HasPrefix(string(r.Task), "feed1.") {
				n++
			}
		}
	}
	return n
}

// feed submits a job of two lasting tasks, which run until they are cancelled.
func (d *demo) feed() error {
	say("a client submits a job of two lasting tasks")
	if err := d.submit("feed1", "", standin.JobStep{Count: 2, CPUMilli: 1000, Lasting: true, MaxPerVM: 1}); err != nil {
		return err
	}
	return d.until("the feed runs on both VMs", func() bool { return d.feedRuns() == 2 })
}

// roster submits a job whose second step depends on the first.
func (d *demo) roster() error {
	say("it submits a job of two steps: four tasks, then one that depends on all of them")
	began := time.Now()
	if err := d.submit("roster1", "work=300ms",
		standin.JobStep{Count: 4, CPUMilli: 500, ExpectedMS: 300},
		standin.JobStep{Count: 1, CPUMilli: 500, ExpectedMS: 300, After: []int{0}}); err != nil {
		return err
	}
	if err := d.until("the roster is completed", func() bool { return d.state("roster1") == "completed" }); err != nil {
		return err
	}
	say("completed after %d ms, of which 600 ms are the run time of its two steps", time.Since(began).Milliseconds())
	return nil
}

// killLeader kills the leader while a job runs. Another replica must take over, run
// each task of the job once and leave the feed running.
func (d *demo) killLeader() error {
	op := operator.New(d.site.OperatorAddrs())
	at := d.site.Leader(d.ctx)
	if at < 0 {
		return errors.New("no control process leads")
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
	if err := d.checkStartedOnce(op, "roster2"); err != nil {
		return err
	}
	if n := d.feedRuns(); n != 2 {
		return fmt.Errorf("%d tasks of the feed run; want 2", n)
	}
	say("each of its tasks was started once, and the feed still runs")
	return nil
}

// checkStartedOnce fails if a task of the job wasn't started exactly once.
func (d *demo) checkStartedOnce(op *operator.Client, job string) error {
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

// restartExecutor crashes an executor and restarts it with the same id. Its lost task
// must be started again, and the next job's tasks must each be started once, although
// the new incarnation numbers its calls from 1 again.
func (d *demo) restartExecutor() error {
	say("the executor of side-1 crashes and restarts with the same id; it numbers its calls from 1 again")
	began := time.Now()
	d.site.Servers[0].RestartSameID()
	if err := d.until("the feed's task there runs again", func() bool { return d.feedRuns() == 2 }); err != nil {
		return err
	}
	say("its task of the feed runs again after %d ms", time.Since(began).Milliseconds())
	if err := d.submit("roster4", "work=100ms", standin.JobStep{Count: 6, CPUMilli: 500, ExpectedMS: 100}); err != nil {
		return err
	}
	if err := d.until("roster4 is completed", func() bool { return d.state("roster4") == "completed" }); err != nil {
		return err
	}
	if err := d.checkStartedOnce(operator.New(d.site.OperatorAddrs()), "roster4"); err != nil {
		return err
	}
	say("each task of the next job was started once")
	return nil
}

// show prints what rudderctl reports about the queues, the VMs and a job.
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

// rudderctl runs a subcommand of rudderctl and prints its output.
func (d *demo) rudderctl(args ...string) error {
	say("rudderctl %s", strings.Join(args, " "))
	control := strings.Join(d.site.OperatorAddrs(), ",")
	cmd := exec.CommandContext(d.ctx, filepath.Join(d.bin, "rudderctl"), append([]string{"-control", control}, args...)...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd.Run()
}

// evacuate starts the evacuation of the failure domain that contains all VMs, and
// ends it. Meanwhile a new job waits, and running tasks go on.
func (d *demo) evacuate() error {
	say("the operator evacuates the failure domain hall: no more tasks are started there")
	if err := d.rudderctl("queue-evacuate", "hall"); err != nil {
		return err
	}
	if err := d.submit("roster3", "work=100ms", standin.JobStep{Count: 2, CPUMilli: 500, ExpectedMS: 100}); err != nil {
		return err
	}
	if err := d.rudderctl("queue-evacuations"); err != nil {
		return err
	}
	if state, n := d.state("roster3"), d.feedRuns(); state != "queued" || n != 2 {
		return fmt.Errorf("roster3 is %s, and %d tasks of the feed run; want queued, and 2", state, n)
	}
	say("a new job waits, and the feed goes on")
	if err := d.rudderctl("queue-evacuate", "-end", "hall"); err != nil {
		return err
	}
	if err := d.until("roster3 is completed", func() bool { return d.state("roster3") == "completed" }); err != nil {
		return err
	}
	say("after the end of the evacuation the job is completed")
	return nil
}

// cancel cancels the feed and waits until no task of it runs.
func (d *demo) cancel() error {
	say("the client cancels the feed")
	if status, _ := d.call(http.MethodDelete, "feed1", nil); status != http.StatusOK {
		return fmt.Errorf("cancelling the feed returned status %d", status)
	}
	return d.until("no task of the feed runs", func() bool { return d.feedRuns() == 0 })
}
