package scenario

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	readyLimit  = 30 * time.Second
	httpTimeout = 5 * time.Second
	pathKey     = "PATH"
)

// httpClient asks daemons and stand-ins; each request connects anew.
var httpClient = &http.Client{Timeout: httpTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// startDaemon starts a daemon in the background: daemon NAME COMMAND [ARGS].
// A name whose daemon has ended may be used again.
func startDaemon(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return usage("daemon NAME COMMAND [ARGS]")
	}
	s := stateOf(ts)
	if old, ok := s.processes[args[0]]; ok && !old.hasEnded() {
		return fmt.Errorf("%s runs already", args[0])
	}
	p, err := startProcess(ts.Getenv("WORK"), args[0], []string{pathKey + "=" + ts.Getenv(pathKey)}, args[1:])
	if err != nil {
		return err
	}
	s.processes[args[0]] = p
	return nil
}

func processOf(ts *testscript.TestScript, args []string) (*process, error) {
	if len(args) != 1 {
		return nil, usage("freeze, thaw, crash, terminate or await NAME")
	}
	p, ok := stateOf(ts).processes[args[0]]
	if !ok {
		return nil, fmt.Errorf("no daemon %q", args[0])
	}
	return p, nil
}

// freeze stops all threads of a daemon: freeze NAME.
func freeze(ts *testscript.TestScript, args []string) error {
	p, err := processOf(ts, args)
	if err != nil {
		return err
	}
	return p.freeze()
}

// thaw lets a frozen daemon go on: thaw NAME.
func thaw(ts *testscript.TestScript, args []string) error {
	p, err := processOf(ts, args)
	if err != nil {
		return err
	}
	return p.signal(syscall.SIGCONT)
}

// crash ends a daemon at once: crash NAME.
func crash(ts *testscript.TestScript, args []string) error {
	p, err := processOf(ts, args)
	if err != nil {
		return err
	}
	return p.kill()
}

// terminate ends a daemon gracefully and expects it to succeed: terminate NAME.
func terminate(ts *testscript.TestScript, args []string) error {
	p, err := processOf(ts, args)
	if err != nil {
		return err
	}
	return p.terminate()
}

// await waits until a program has ended and expects it to succeed: await NAME.
func await(ts *testscript.TestScript, args []string) error {
	p, err := processOf(ts, args)
	if err != nil {
		return err
	}
	if err := p.wait(); err != nil {
		return fmt.Errorf("%w\n%s", err, tail(ts.MkAbs(args[0]+".out")))
	}
	return nil
}

// ready waits until a daemon's URL answers 200: ready NAME URL.
func ready(ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("ready NAME URL")
	}
	p, err := processOf(ts, args[:1])
	if err != nil {
		return err
	}
	err = repeat(readyLimit, func() error {
		if p.hasEnded() {
			return nil
		}
		return get(args[1], nil)
	})
	if err == nil && p.hasEnded() {
		err = fmt.Errorf("it has ended: %v", p.err)
	}
	if err != nil {
		return fmt.Errorf("%s is not ready: %w\n%s", args[0], err, tail(ts.MkAbs(args[0]+".err")))
	}
	return nil
}

// tail returns the last lines of a file.
func tail(file string) string {
	const lines = 30
	data, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
