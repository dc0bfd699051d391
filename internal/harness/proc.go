// Package harness starts the product's real processes for the demo, the proofs
// and the measurements, and sets a fault-injecting proxy (toxiproxy, run inside
// this process) on every link between them.
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

// startLimit bounds the start of one process.
const startLimit = 20 * time.Second

// Proc is one process that the harness started.
type Proc struct {
	Name string
	args []string
	bin  string
	log  *os.File
	env  []string // for the next start

	mu     sync.Mutex
	cmd    *exec.Cmd
	listen string
	admin  string
	exited chan struct{}
	code   int
}

var field = regexp.MustCompile(`(listen|admin)=(\S+)`)

// start runs the process and waits until it says that it has started.
func (p *Proc) start() error {
	cmd := exec.Command(p.bin, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	p.env = nil // a fault is for one start
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
		for _, m := range field.FindAllStringSubmatch(line, -1) {
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

// Pid returns the process id.
func (p *Proc) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Code returns the exit code, once the process has ended.
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
		_ = p.cmd.Process.Signal(s) // it may have ended meanwhile
	}
}

// Kill ends the process with SIGKILL and waits for it.
func (p *Proc) Kill() {
	p.signal(syscall.SIGKILL)
	p.Wait()
}

// Term asks for a planned stop.
func (p *Proc) Term() { p.signal(syscall.SIGTERM) }

// Freeze stops the process in silence.
func (p *Proc) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
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
