package main

import (
	"fmt"
	"strings"
	"time"
)

// awaitAll asks for submissions until they are final or the time is over, and returns those
// that are not completed.
func (p *playing) awaitAll(ids []string, limit time.Duration) (others []string) {
	deadline := time.Now().Add(limit)
	for _, id := range ids {
		if s := p.fleet.await(id, time.Until(deadline)); s != "completed" {
			others = append(others, fmt.Sprintf("submission %s is shown as %s", id, s))
		}
	}
	return others
}

// count records how many tasks have started and ended; the caller holds the lock.
func (p *playing) count() {
	starts, done, again := 0, 0, 0
	for _, l := range p.fleet.executors.tasks {
		starts += len(l.starts)
		if len(l.done) > 0 {
			done++
		}
		if len(l.done) > 1 {
			again++
		}
	}
	p.rec.printf("%d tasks, %d starts, %d done, %d of them more than once", len(p.fleet.executors.tasks), starts, done, again)
}

// awaitRun returns the executor that runs a task.
func (p *playing) awaitRun(task string, limit time.Duration) *executor {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		p.fleet.executors.mu.Lock()
		for _, e := range p.fleet.executors.list {
			if e.runs[task] != nil {
				p.fleet.executors.mu.Unlock()
				return e
			}
		}
		p.fleet.executors.mu.Unlock()
	}
	return nil
}

// idle returns the submissions that are not completed and have had no run for 3 s.
func (p *playing) idle(ids []string) (breaks []string) {
	f, all := p.fleet, p.fleet.executors
	atWork := all.atWork(3 * time.Second)
	for _, id := range ids {
		if s := f.state(f.vms[0], id); s != "completed" && !atWork[id] {
			breaks = append(breaks, fmt.Sprintf("submission %s was accepted and is shown as %s; for 3 s none of its tasks has run", id, s))
		}
	}
	f.store.mu.Lock()
	p.rec.printf("appends refused since a record is larger than %d bytes: %v", recordBytes, f.store.refused)
	f.store.mu.Unlock()
	p.rec.printf("%d runs now", all.running())
	all.mu.Lock()
	defer all.mu.Unlock()
	p.count()
	return breaks
}

// running returns the number of runs.
func (all *executors) running() int {
	all.mu.Lock()
	defer all.mu.Unlock()
	all.advance()
	n := 0
	for _, e := range all.list {
		if !e.down {
			n += len(e.runs)
		}
	}
	return n
}

// atWork returns the submissions that have a run at some time in a span from now on.
func (all *executors) atWork(span time.Duration) map[string]bool {
	out := map[string]bool{}
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		all.mu.Lock()
		for _, e := range all.list {
			for task := range e.runs {
				out[strings.SplitN(task, ".", 2)[0]] = true
			}
		}
		all.mu.Unlock()
	}
	return out
}
