package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

const (
	vmCount      = 3
	readyTimeout = 20 * time.Second
	timeLimit    = 115 * time.Second
)

// scenario plays one case. Without trouble it does the same without the disruption.
type scenario struct {
	prepare func(w *world) error
	play    func(w *world, trouble bool)
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE ROOT RECORD")
		return notRun
	}
	sc, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return notRun
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer out.Close()
	w, err := newWorld(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- w.playCase(sc, root) }()
	select {
	case code := <-done:
		return code
	case <-stop:
	case <-time.After(timeLimit):
		fmt.Fprintln(os.Stderr, "not ended after", timeLimit)
	}
	return notRun
}

func (w *world) playCase(sc scenario, root string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("trouble %v", trouble)
	if err := sc.prepare(w); err != nil {
		w.note("not run: %v", err)
		return notRun
	}
	for i := range vmCount {
		if err := w.startVM(root, fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("zone-%c", 'a'+i)); err != nil {
			w.note("not run: %v", err)
			return notRun
		}
	}
	if err := w.awaitReady(readyTimeout); err != nil {
		w.note("not run: %v", err)
		return notRun
	}
	time.Sleep(3 * time.Second) // an owner has taken over
	sc.play(w, trouble)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.breaks) > 0 {
		w.record(fmt.Sprintf("broken %d times", len(w.breaks)), nil, "", 0, "")
		fmt.Println("broken:", w.breaks[0])
		return ruleBroken
	}
	w.record("the rule held", nil, "", 0, "")
	return ruleHeld
}
