// Package harness starts the product's real processes for the demo, the tests in proof
// and the benchmarks. Every connection between them passes through fault-injecting
// proxies inside this process: toxiproxy and package faultlink.
package harness

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startLimit bounds the time until a process has started.
const startLimit = 20 * time.Second

// Proc is a process started by the harness.
type Proc struct {
	Name string
	args []string
	bin  string // path of the program
	log  *os.File
	env  []string // further variables for the next start

	mu     sync.Mutex
	cmd    *exec.Cmd
	listen string        // address from the log; empty before the first start
	admin  string        // address of the admin server from the log; empty if it has none
	exited chan struct{} // closed when the current process has ended; nil before the first start
	code   int           // exit code of the last process that has ended
}

// addrPattern matches the addresses in the log line of the start.
var addrPattern = regexp.MustCompile(`(listen|admin)=(\S+)`)

// start starts the process and waits until it logs that it has started.
func (p *Proc) start() error {
	cmd := exec.Command(p.bin, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	p.env = nil // a crash point applies to one start
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	started := make(chan string, 1)
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		p.copyLog(stderr, started)
		_ = cmd.Wait() // the exit code is read below
		p.mu.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
	}()
	select {
	case line := <-started:
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, m := range addrPattern.FindAllStringSubmatch(line, -1) {
			if m[1] == "listen" {
				p.listen = m[2]
			} else {
				p.admin = m[2]
			}
		}
		return nil
	case <-exited:
		return fmt.Errorf("%s ended with code %d; see %s", p.Name, p.Code(), p.log.Name())
	case <-time.After(startLimit):
		return fmt.Errorf("%s did not start in %v; see %s", p.Name, startLimit, p.log.Name())
	}
}

// copyLog copies the log to its file. It sends the line that reports the start to started.
func (p *Proc) copyLog(r io.Reader, started chan<- string) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		line := sc.Text()
		fmt.Fprintln(p.log, line)
		if strings.Contains(line, "event=started") {
			select {
			case started <- line:
			default:
			}
		}
	}
}

// Listen returns the address that the process listens on.
func (p *Proc) Listen() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listen
}

// Admin returns the address of its admin server.
func (p *Proc) Admin() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.admin
}

// Pid returns the process ID.
func (p *Proc) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Code returns the exit code of a process that has ended.
func (p *Proc) Code() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// Running reports whether the process runs.
func (p *Proc) Running() bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

func (p *Proc) signal(s syscall.Signal) {
	if p.Running() {
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = p.cmd.Process.Signal(s) // fails if it has ended meanwhile
	}
}

// Kill kills the process with SIGKILL and waits for its end.
func (p *Proc) Kill() {
	p.signal(syscall.SIGKILL)
	p.Wait()
}

// Term requests a graceful shutdown with SIGTERM.
func (p *Proc) Term() { p.signal(syscall.SIGTERM) }

// Freeze suspends the process with SIGSTOP; its connections stay open.
func (p *Proc) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw resumes a process suspended by Freeze.
func (p *Proc) Thaw() { p.signal(syscall.SIGCONT) }

// Wait waits until the process has ended.
func (p *Proc) Wait() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}
