package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	endTimeout    = time.Minute // for a program to end
	freezeTimeout = 10 * time.Second
	stoppedState  = "T" // of a process in /proc
)

// process is a daemon that a script has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed once it has ended
	err  error         // of its end
}

// startProcess starts a daemon; its output goes to NAME.out and NAME.err.
func startProcess(dir, name string, env []string, args []string) (*process, error) {
	path, err := exec.LookPath(args[0])
	if err != nil {
		return nil, err
	}
	stdout, err := os.OpenFile(filepath.Join(dir, name+".out"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer stdout.Close()
	stderr, err := os.OpenFile(filepath.Join(dir, name+".err"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer stderr.Close()
	cmd := exec.Command(path, args[1:]...)
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = dir, env, stdout, stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) error {
	if p.hasEnded() {
		return fmt.Errorf("%s has ended: %v", p.name, p.err)
	}
	return p.cmd.Process.Signal(s)
}

// freeze stops all threads and returns once they have stopped.
func (p *process) freeze() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return repeat(freezeTimeout, func() error {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			return err
		}
		_, state, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(state, stoppedState) {
			return fmt.Errorf("%s has not stopped: %s", p.name, stat)
		}
		return nil
	})
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill ends the process at once.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// terminate asks the process to end and returns how it ended.
func (p *process) terminate() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.wait()
}

// wait waits for the end of the process and returns how it ended.
func (p *process) wait() error {
	select {
	case <-p.done:
	case <-time.After(endTimeout):
		return fmt.Errorf("%s has not ended after %s", p.name, endTimeout)
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w", p.name, p.err)
	}
	return nil
}
