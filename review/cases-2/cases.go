package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

var scenarios = map[string]scenario{
	"kind": {prepare: fleetOf(8, 16000), play: playKind},
	"wide": {prepare: directFleet(66, 16000), play: playWide},
	"mix":  {prepare: fleetOf(84, 9000), play: playMix},
}

// fleetOf returns a preparation with a configuration and a number of executors, two a rack.
func fleetOf(n int, milli int64) func(w *world) error {
	return func(w *world) error {
		w.publishConfig(3)
		for i := range n {
			kind := "a"
			if i%2 == 1 {
				kind = "b"
			}
			if _, err := w.newExecutor(fmt.Sprintf("%08x", hash(fmt.Sprint("machine ", i))), fmt.Sprintf("r1-%d", i/2), kind, milli, 64000); err != nil {
				return err
			}
		}
		return nil
	}
}

// directFleet is fleetOf without relays, for many connections.
func directFleet(n int, milli int64) func(w *world) error {
	return func(w *world) error {
		w.direct = true
		return fleetOf(n, milli)(w)
	}
}

// playKind keeps work for executors of kind a coming, and lets one crash and come back with the
// other kind.
func playKind(w *world, trouble bool) {
	w.mu.Lock()
	w.onStart = func(e *executor, r *run) {
		if r.step.Requires != "" && r.step.Requires != e.kind {
			w.breach("ROUTE: run %d of %s requires %s and started on %s of kind %s, %.0f ms after its life began",
				r.number, r.task, r.step.Requires, e.id, e.kind, float64(time.Since(e.born).Microseconds())/1000)
		}
	}
	w.mu.Unlock()
	stop := time.Now().Add(60 * time.Second)
	go func() {
		for i := 0; time.Now().Before(stop); i++ {
			go w.submit(step{Count: 4, CPU: 2000, MemMB: 500, EstimateMs: 1300, Requires: []string{"a", "b"}[i%2]})
			time.Sleep(80*time.Millisecond + rand.N(40*time.Millisecond))
		}
	}()
	time.Sleep(4 * time.Second)
	for i := 0; time.Now().Before(stop.Add(-8 * time.Second)); i++ {
		if trouble {
			w.mu.Lock()
			e := w.executors[i%len(w.executors)]
			e.crash()
			w.mu.Unlock()
			time.Sleep(2 * time.Second)
			w.mu.Lock()
			other := map[string]string{"a": "b", "b": "a"}
			e.start(e.id, other[e.kind])
			w.mu.Unlock()
		}
		time.Sleep(4*time.Second + rand.N(time.Second))
	}
	time.Sleep(time.Until(stop))
}

// playWide hands in one submission of many small tasks beside a light load.
func playWide(w *world, trouble bool) {
	const (
		tasks   = 8000
		traffic = 24
	)
	light := step{Count: 4, CPU: 1800, MemMB: 1000, EstimateMs: 1000}
	if trouble {
		w.submit(step{Count: tasks, CPU: 60, MemMB: 60, EstimateMs: 12000, Checkpointable: true})
	}
	var handed []*submission
	for range traffic {
		handed = append(handed, w.submit(light))
		time.Sleep(time.Second)
	}
	time.Sleep(finish)
	w.checkLost(handed)
}

// checkLost asks for the states of submissions and checks for 3 s that those that are not completed
// have something running, or that the fleet is half full.
func (w *world) checkLost(handed []*submission) {
	var open []*submission
	for _, s := range handed {
		if s.accepted && w.state(s) != "completed" {
			open = append(open, s)
		}
	}
	ran, most := map[*submission]bool{}, 0.0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		most = max(most, w.usedShare())
		for _, s := range open {
			ran[s] = ran[s] || w.runsOf(s) > 0
		}
		w.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range open {
		if !ran[s] && most < 0.5 {
			w.breach("LOST: %s, accepted %.0f s ago, has nothing running for 3 s while at most %.0f percent of the capacity is in use", s.ID, time.Since(s.acceptAt).Seconds(), 100*most)
		}
	}
}

const finish = 14 * time.Second

// runsOf returns the number of runs of a submission. The caller holds the lock.
func (w *world) runsOf(s *submission) int {
	n := 0
	for _, e := range w.executors {
		for _, r := range e.runs {
			if r.sub == s {
				n++
			}
		}
	}
	return n
}

// usedShare returns the larger of the used shares of processors and memory. The caller holds
// the lock.
func (w *world) usedShare() float64 {
	var milli, mem, usedMilli, usedMem int64
	for _, e := range w.executors {
		if !e.up {
			continue
		}
		milli, mem = milli+e.milli, mem+e.memMB
		for _, r := range e.runs {
			usedMilli, usedMem = usedMilli+r.step.CPU, usedMem+r.step.MemMB
		}
	}
	return max(float64(usedMilli)/float64(max(1, milli)), float64(usedMem)/float64(max(1, mem)))
}
