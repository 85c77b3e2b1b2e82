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

// Process is a process that can be restarted. Its output is appended to a log.
type Process struct {
	args []string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	log  string        // path
	path string        // of the program
}

// Start starts the process. It must not be running.
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

// run starts a process and waits for its end. It stays on one thread, as Pdeathsig
// kills the process when the thread that started it ends.
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

// Signal sends a signal. If the process has ended, the error says how and includes
// the end of its log.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.cmd.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		<-p.done
		return trace.Wrap(err, "%v, last lines of its log:\n%s", p.cmd.ProcessState, p.endOfLog())
	}
	return trace.Wrap(err)
}

// maxLogShown is the number of bytes of a log that an error includes.
const maxLogShown = 4096

// endOfLog returns the last maxLogShown bytes of the log.
func (p *Process) endOfLog() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-maxLogShown):])
}

// Kill sends SIGKILL and waits for the end of the process. It does nothing if the
// process was never started.
func (p *Process) Kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// Wait waits for the end of the process and returns its exit code. It returns an
// error if the process is still running after the timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, trace.LimitExceeded("the process did not end within %v", timeout)
	}
}

// Pid returns the process ID.
func (p *Process) Pid() int {
	return p.cmd.Process.Pid
}
