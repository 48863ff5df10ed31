package integration

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/samphirestream/samphirestream/internal/invariant"
)

// process is one process of a fleet. It may be started again after it exits.
type process struct {
	fleet   *fleet
	name    string
	server  string // the backend server, for itself and for its agent
	backend bool   // whether it is the backend server itself
	program string
	args    []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	code   int
}

// start starts the process, which must not be running.
func (p *process) start(t testing.TB) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(p.program, p.args...)
	p.cmd.Stderr = out
	// The kernel kills the process if the test binary dies.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.exited = make(chan struct{})
	cmd, exited := p.cmd, p.exited
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		_ = out.Close()
		close(exited)
	}()
	p.record(invariant.ProcessStarted)
}

func (p *process) record(kind invariant.Kind) {
	p.fleet.recorder.Record(invariant.Event{Kind: kind, Process: &invariant.Process{
		Name: p.name, Server: p.server, Backend: p.backend, ExitCode: p.exitCode(kind),
	}})
}

func (p *process) exitCode(kind invariant.Kind) int {
	if kind != invariant.ProcessStopped {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

func (p *process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.record(invariant.ProcessKilled)
	p.signal(syscall.SIGKILL)
	<-p.done()
}

// pause stops the process with SIGSTOP until resume.
func (p *process) pause() {
	p.record(invariant.ProcessPaused)
	p.signal(syscall.SIGSTOP)
}

func (p *process) resume() {
	p.signal(syscall.SIGCONT)
	p.record(invariant.ProcessResumed)
}

// terminate starts a graceful shutdown with SIGTERM.
func (p *process) terminate() {
	p.record(invariant.ProcessStopping)
	p.signal(syscall.SIGTERM)
}

// stop shuts the process down gracefully and waits until it has exited.
func (p *process) stop(t testing.TB) {
	t.Helper()
	p.terminate()
	p.awaitExit(t)
}

func (p *process) awaitExit(t testing.TB) {
	t.Helper()
	select {
	case <-p.done():
		p.record(invariant.ProcessStopped)
	case <-time.After(pollTimeout):
		t.Errorf("%s has not exited", p.name)
	}
}

// dispose kills the process after its test, without a recorded event.
func (p *process) dispose() {
	p.signal(syscall.SIGKILL)
	<-p.done()
}

// tail returns up to maxBytes from the end of the process's log.
func (p *process) tail(maxBytes int) string {
	data, err := os.ReadFile(filepath.Join(p.fleet.dir, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	if len(data) > maxBytes {
		data = data[len(data)-maxBytes:]
	}
	return string(bytes.TrimSpace(data))
}
