package main

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/peridotlock/peridotlock/faultnet"
	"github.com/peridotlock/peridotlock/platform/standin"
)

// taskLog is what the mix knows of a task.
type taskLog struct {
	starts  []time.Time
	doneAt  time.Time // of the first end done
	ackedAt time.Time // when such an end was taken note of, without a lapse between
}

// playMix plays work of all kinds on several cells, with faults of machines and executors, and
// checks TWICE, ORDER, UNASKED and LOST.
func playMix(w *world, trouble bool) {
	const traffic = 60 * time.Second
	tasks := map[string]*taskLog{}
	of := func(task string) *taskLog {
		if tasks[task] == nil {
			tasks[task] = &taskLog{}
		}
		return tasks[task]
	}
	w.mu.Lock()
	w.onStart = func(e *executor, r *run) {
		t := of(r.task)
		for _, other := range w.executors {
			if o := other.runs[r.task]; o != nil && o != r && other.up {
				w.breach("TWICE: %s run %d starts on %s while run %d is on %s", r.task, r.number, e.id, o.number, other.id)
			}
		}
		if !t.ackedAt.IsZero() {
			w.breach("TWICE: %s run %d starts on %s after its end was taken note of", r.task, r.number, e.id)
		}
		t.starts = append(t.starts, time.Now())
		parts := strings.Split(r.task, ".")
		for _, d := range r.step.DependsOn {
			for i := range r.sub.Steps[d].Count {
				if name := parts[0] + "." + parts[1] + "." + strconv.Itoa(d) + "." + strconv.Itoa(i); !r.sub.doneTasks[name] && !r.sub.Steps[d].Gang {
					w.breach("ORDER: %s starts before %s is done", r.task, name)
				}
			}
		}
		if r.sub.MaxRuns > 0 {
			k, _ := strconv.ParseInt(parts[1], 10, 64) // the stand-in knows the task
			if due := r.sub.InitialDelayMs + k*r.sub.IntervalMs; time.Now().UnixMilli() < due-250 {
				w.breach("ORDER: %s starts %d ms before its time", r.task, due-time.Now().UnixMilli())
			}
		}
		if c := r.sub.cancelledAt; !c.IsZero() && time.Since(c) > 3*time.Second {
			w.breach("UNASKED: %s run %d starts %.1f s after the cancel", r.task, r.number, time.Since(c).Seconds())
		}
		if n := r.step.MaxPerExecutor; n > 0 {
			for _, o := range e.runs {
				if o != r && o.step == r.step && strings.Split(o.task, ".")[1] == parts[1] {
					n--
				}
			}
			if n <= 0 {
				w.breach("ROUTE: %s run %d on %s is beyond antiAffinity", r.task, r.number, e.id)
			}
		}
	}
	w.onEnd = func(r *run, how string) {
		if how == "done" && of(r.task).doneAt.IsZero() {
			of(r.task).doneAt = time.Now()
		}
	}
	w.onAck = func(e *executor, x end) {
		if x.how != "done" {
			return
		}
		t := of(x.task)
		for _, s := range t.starts {
			if s.After(x.at) {
				w.breach("TWICE: %s started after an end done on %s that is taken note of", x.task, e.id)
			}
		}
		t.ackedAt = time.Now()
	}
	w.mu.Unlock()
	var mu sync.Mutex
	var handed []*submission
	stop := time.Now().Add(traffic)
	go func() {
		for time.Now().Before(stop) {
			go func() {
				s := randomSubmission()
				w.handIn(s)
				mu.Lock()
				handed = append(handed, s)
				mu.Unlock()
				if s.accepted && (rand.IntN(10) == 0 || s.Steps[0].LongRunning && rand.IntN(2) == 0) {
					time.Sleep(rand.N(12 * time.Second))
					w.cancel(s)
				}
			}()
			time.Sleep(20*time.Millisecond + rand.N(40*time.Millisecond))
		}
	}()
	var group sync.WaitGroup
	for trouble && time.Now().Before(stop) {
		time.Sleep(rand.N(1500 * time.Millisecond))
		v := w.vms[rand.IntN(len(w.vms))]
		first := rand.IntN(len(w.executors) - 8)
		d := 300*time.Millisecond + rand.N(4*time.Second)
		switch kind := rand.IntN(8); kind {
		case 0, 1:
			w.note("machine %s is killed for %v", v.name, d)
			v.end(syscall.SIGKILL)
			time.Sleep(d / 2)
			v.start()
		case 2:
			w.note("machine %s is frozen for %v", v.name, d)
			v.process.Process.Signal(syscall.SIGSTOP)
			time.Sleep(d)
			v.process.Process.Signal(syscall.SIGCONT)
		case 3:
			w.note("machine %s is stopped and started", v.name)
			v.end(syscall.SIGTERM)
			v.start()
		case 5:
			w.mu.Lock()
			w.lateShare = 0.055
			w.mu.Unlock()
			w.note("orders late")
			group.Go(func() {
				time.Sleep(5500 * time.Millisecond)
				w.mu.Lock()
				defer w.mu.Unlock()
				w.lateShare = 0
			})
		case 6:
			w.store.SetFaults(standin.Faults{DropAppendReplies: 1 + rand.IntN(6)})
		case 7:
			w.note("executors from %d cut", first)
			group.Go(func() {
				for _, e := range w.executors[first : first+8] {
					e.relay.Set(faultnet.Condition{Silent: [2]bool{true, rand.IntN(2) == 0}})
					e.relay.SilenceConnections()
				}
				time.Sleep(5500 * time.Millisecond)
				for _, e := range w.executors[first : first+8] {
					e.relay.Set(faultnet.Condition{})
					e.relay.ResetConnections()
				}
			})
		case 4:
			group.Go(func() {
				for _, e := range w.executors[first : first+4] {
					w.mu.Lock()
					if e.up {
						e.crash()
					}
					w.mu.Unlock()
				}
				time.Sleep(d)
				w.mu.Lock()
				defer w.mu.Unlock()
				for _, e := range w.executors[first : first+4] {
					if !e.up {
						e.start(e.id, e.kind)
					}
				}
			})
		}
	}
	group.Wait()
	time.Sleep(time.Until(stop.Add(finish)))
	mu.Lock()
	defer mu.Unlock()
	for _, s := range handed {
		if !s.accepted || !s.cancelledAt.IsZero() || s.Steps[0].LongRunning || s.MaxRuns > 0 {
			continue
		}
		if state := w.state(s); state != "completed" {
			w.note("%s of %+v is %s, %d runs, %d done tasks", s.ID, s.Steps, state, w.runsOf(s), len(s.doneTasks))
			w.mu.Lock()
			if w.runsOf(s) == 0 && w.usedShare() < 0.5 {
				w.breach("LOST: %s is %s and nothing of it runs", s.ID, state)
			}
			w.mu.Unlock()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range handed {
		if !s.cancelledAt.IsZero() && w.runsOf(s) > 0 && time.Since(s.cancelledAt) > 4*time.Second {
			w.breach("UNASKED: %s was cancelled %v ago and has %d runs", s.ID, time.Since(s.cancelledAt), w.runsOf(s))
		}
		if s.accepted && s.Steps[0].LongRunning && s.cancelledAt.IsZero() && w.runsOf(s) < s.Steps[0].Count {
			w.breach("LOST: %s, which lasts, has %d runs of %d", s.ID, w.runsOf(s), s.Steps[0].Count)
		}
	}
}

func randomSubmission() *submission {
	s := &submission{}
	work := int64(300 + rand.IntN(1500))
	switch rand.IntN(6) {
	case 0:
		s.Steps = []step{{Count: 1 + rand.IntN(3), CPU: 3000, MemMB: 4000, EstimateMs: 1000, LongRunning: true, MaxPerExecutor: rand.IntN(2)}}
	case 1:
		s.Steps = []step{{Count: 2 + rand.IntN(3), CPU: 1500, MemMB: 1000, EstimateMs: work, Gang: true}}
	case 2:
		s.MaxRuns, s.IntervalMs = 1+rand.IntN(8), int64(rand.IntN(3000))
		s.InitialDelayMs = time.Now().UnixMilli() + int64(rand.IntN(4000))
		s.Steps = []step{{Count: 2, CPU: 800, MemMB: 500, EstimateMs: work}, {Count: 1, CPU: 800, MemMB: 500, EstimateMs: work, DependsOn: []int{0}}}
	case 3:
		s.Steps = []step{{Count: 4, CPU: 1500, MemMB: 1000, EstimateMs: work}, {Count: 2, CPU: 1000, MemMB: 500, EstimateMs: work, Checkpointable: true, DependsOn: []int{0}}}
	case 4:
		s.Steps = []step{{Count: 6, CPU: 1500, MemMB: 500, EstimateMs: work, MaxPerExecutor: 1, DataRack: "r1-" + strconv.Itoa(rand.IntN(40))}}
	default:
		s.Steps = []step{{Count: 6, CPU: 1000, MemMB: 500, EstimateMs: work}}
	}
	return s
}
