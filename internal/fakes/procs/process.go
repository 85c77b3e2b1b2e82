package procs

import (
	"errors"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Process is a process that can be ended and started again.
type Process struct {
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	log  string
	path string
}

// Start starts the process.
func (p *Process) Start() error {
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer out.Close()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.done = make(chan struct{})
	started := make(chan error)
	go run(p.cmd, started, p.done)
	return trace.Wrap(<-started)
}

// run starts a process and waits for its end, both on one thread: the process
// is killed when the thread that started it ends.
func run(cmd *exec.Cmd, started chan<- error, done chan<- struct{}) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(done)
	err := cmd.Start()
	started <- err
	if err == nil {
		_ = cmd.Wait()
	}
}

// Signal sends a signal. An error says how a process that has ended did so.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.cmd.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		<-p.done
		return trace.Wrap(err, "%v, last lines of its log:\n%s", p.cmd.ProcessState, p.lastLines())
	}
	return trace.Wrap(err)
}

// logShown is the number of bytes of a log that an error shows.
const logShown = 4096

func (p *Process) lastLines() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logShown):])
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// Wait waits for the end of the process and returns its exit code.
func (p *Process) Wait(limit time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, trace.LimitExceeded("the process did not end within %v", limit)
	}
}

// Pid returns the ID of the process.
func (p *Process) Pid() int {
	return p.cmd.Process.Pid
}
