package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE ROOT RECORD")
		os.Exit(2)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	cases := map[string]func(root, record string, trouble bool) *world{"mix": mixCase, "schedule": scheduleCase, "steps": stepsCase, "wide": wideCase, "labels": labelsCase}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	w := play(root, os.Args[3], os.Getenv("TROUBLE") != "0")
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.judge.breaks) == 0 {
		w.record("all rules held")
		fmt.Println("all rules held")
		os.Exit(0)
	}
	fmt.Printf("%d breaks, first: %s\n", len(w.judge.breaks), w.judge.breaks[0])
	os.Exit(1)
}

// followAll follows submissions until all have ended or a time is over.
func (w *world) followAll(all []*sub, limit time.Duration) {
	until := time.Now().Add(limit)
	var group sync.WaitGroup
	for _, s := range all {
		group.Go(func() {
			if state := w.follow(s, until); !isFinal(state) && s.accepted {
				w.mu.Lock()
				w.record("not ended: %s %s", s.id, state)
				w.mu.Unlock()
			}
		})
	}
	group.Wait()
}

// mixCase: all kinds of work under random disturbances.
func mixCase(root, record string, trouble bool) *world {
	executors, err := strconv.Atoi(os.Getenv("EXECUTORS"))
	if err != nil {
		executors = 24
	}
	w := newWorld(root, record, 6, executors, usualRack, func(i int) string {
		if i%4 == 0 {
			return "b"
		}
		return "a"
	})
	var mu sync.Mutex
	var all []*sub
	var group sync.WaitGroup
	stop := make(chan struct{})
	if trouble {
		group.Go(func() { w.disturb(stop) })
	}
	end := time.Now().Add(60 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(rand.N(7 * time.Second / time.Duration(executors)))
		s := randomSub()
		group.Go(func() {
			if w.submit(s) {
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
			}
			if s.accepted && rand.IntN(4) == 0 {
				time.AfterFunc(rand.N(6*time.Second), func() { w.again(s) })
			}
			if rand.IntN(8) == 0 || s.Steps[0].LongRunning {
				time.Sleep(rand.N(20 * time.Second))
				w.cancel(s)
			}
		})
	}
	close(stop)
	group.Wait()
	w.followAll(all, 25*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range all {
		if !isFinal(s.lastState) && !s.Steps[len(s.Steps)-1].LongRunning && !s.cancelTry {
			w.judge.broken("LOST", "%s has not ended", s.id)
		}
	}
	return w
}

func randomSub() *sub {
	s := &sub{Spec: fmt.Sprintf("spec <&> %d \u2028 ž", rand.Int()), hopeless: rand.IntN(20) == 0}
	for i := range 1 + rand.IntN(3) {
		st := &step{Count: 1 + rand.IntN(6), CPU: 500 + rand.Int64N(2500), MemMB: 1000 + rand.Int64N(4000), workMs: 200 + rand.Int64N(3000)}
		st.EstimateMs = st.workMs
		st.Gang = rand.IntN(3) == 0
		st.Checkpointable = rand.IntN(2) == 0 && !st.Gang
		if rand.IntN(6) == 0 {
			st.CPU, st.MemMB = 8000, 30000
		}
		if rand.IntN(4) == 0 {
			st.Requires = []string{"a", "b"}[rand.IntN(2)]
		}
		if rand.IntN(4) == 0 {
			st.AntiAffinity = 1 + rand.IntN(2)
		}
		if i > 0 && rand.IntN(3) > 0 {
			st.DependsOn = []int{rand.IntN(i)}
		}
		s.Steps = append(s.Steps, st)
	}
	if rand.IntN(12) == 0 {
		st := &step{Count: 1 + rand.IntN(6), CPU: 1000 + rand.Int64N(6000), MemMB: 2000 + rand.Int64N(8000), EstimateMs: 320, LongRunning: true, MayMiss: rand.IntN(3), AntiAffinity: rand.IntN(3)}
		if rand.IntN(2) == 0 {
			st.Image, st.TargetMs = fmt.Sprintf("serve-%d", rand.IntN(4)), 40
		}
		s.Steps, s.hopeless = []*step{st}, false
		return s
	}
	for _, st := range s.Steps {
		if !st.Gang && rand.IntN(4) == 0 {
			st.Image, st.Fills = fmt.Sprintf("fill-%d", rand.IntN(6)), true
		}
	}
	if rand.IntN(4) == 0 {
		s.MaxRuns = 1 + rand.IntN(5)
		s.FirstDueMs = time.Now().UnixMilli() + rand.Int64N(4000) - 1000
		s.IntervalMs = 500 + rand.Int64N(2500)
	}
	return s
}

const pauseMin = 500 * time.Millisecond

// disturb plays random disturbances until stop is closed.
func (w *world) disturb(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pauseMin + rand.N(2*time.Second)):
		}
		v := w.vms[rand.IntN(len(w.vms))]
		e := w.execs[rand.IntN(len(w.execs))]
		switch rand.IntN(20) {
		case 0:
			v.restart(rand.N(2 * time.Second))
		case 1:
			v.roll()
		case 2:
			if os.Getenv("CRASH") == "0" {
				continue
			}
			go e.crash(rand.N(3*time.Second), false)
			go w.execs[rand.IntN(len(w.execs))].crash(rand.N(3*time.Second), false)
		case 3:
			w.set(func() { e.cutOff = true })
			w.note("cut off %s", e.name)
			time.AfterFunc(6*time.Second, func() { w.set(func() { e.cutOff = false }); w.note("back %s", e.name) })
		case 4:
			w.note("late orders")
			w.set(func() {
				for _, e := range w.execs {
					e.lateShare = 0.05
				}
			})
			time.AfterFunc(5*time.Second, func() {
				w.set(func() {
					for _, e := range w.execs {
						e.lateShare = 0
					}
				})
			})
		case 5:
			w.note("lost answers of starts")
			w.set(func() {
				for _, e := range w.execs {
					e.lostShare = 0.1
				}
			})
			time.AfterFunc(5*time.Second, func() {
				w.set(func() {
					for _, e := range w.execs {
						e.lostShare = 0
					}
				})
			})
		case 6, 7:
			lost, late := 0.35, 0.0
			if rand.IntN(2) == 0 {
				lost, late = 0, 0.3
			}
			w.note("store loses answers %v %v", lost, late)
			for _, v := range w.vms {
				v.mu.Lock()
				v.lostShare, v.lateShare = lost, late
				v.mu.Unlock()
			}
			time.AfterFunc(4*time.Second, func() {
				for _, v := range w.vms {
					v.mu.Lock()
					v.lostShare, v.lateShare = 0, 0
					v.mu.Unlock()
				}
			})
		case 9:
			go e.crash(rand.N(2*time.Second), true)
		case 10:
			w.set(func() {
				if e.up && !e.draining {
					e.draining, e.drainSince = true, time.Now()
					w.record("drain %s", e.name)
				}
			})
			go e.put(e.id)
			time.AfterFunc(7*time.Second, func() { e.crash(time.Second, false) })
		case 11:
			z := zones[rand.IntN(len(zones))].name
			w.store.Put("op", "evacuate/"+z, "{}")
			w.set(func() { w.evacuated[z] = time.Now(); w.record("evacuate %s", z) })
			time.AfterFunc(8*time.Second, func() {
				w.set(func() { delete(w.evacuated, z); w.record("take back %s", z) })
				w.store.Put("op", "evacuate/"+z, "")
			})
		case 16:
			w.set(func() { w.version += 1 + rand.IntN(3); w.record("config %d", w.version) })
			w.putConfig(w.version)
		case 17:
			w.note("all partitions are dealt anew")
			w.store.Redeal(rand.IntN(2) == 0)
		case 18:
			w.note("store is silent to %s", v.name)
			v.mu.Lock()
			v.silent = true
			v.mu.Unlock()
			time.AfterFunc(rand.N(8*time.Second), func() {
				v.mu.Lock()
				v.silent = false
				v.mu.Unlock()
			})
		case 19:
			w.note("store is slow")
			for _, v := range w.vms {
				v.mu.Lock()
				v.slow = 300 * time.Millisecond
				v.mu.Unlock()
			}
			time.AfterFunc(4*time.Second, func() {
				for _, v := range w.vms {
					v.mu.Lock()
					v.slow = 0
					v.mu.Unlock()
				}
			})
		case 12, 13:
			d := rand.N(5 * time.Second)
			w.note("freeze %s for %v", v.name, d)
			v.signal(syscall.SIGSTOP)
			time.Sleep(d)
			v.signal(syscall.SIGCONT)
		case 14, 15:
			w.note("store turns %s away", v.name)
			v.mu.Lock()
			v.down = true
			v.mu.Unlock()
			time.AfterFunc(rand.N(9*time.Second), func() {
				v.mu.Lock()
				v.down = false
				v.mu.Unlock()
			})
		case 8:
			for _, v := range w.vms {
				v.mu.Lock()
				v.down = true
				v.mu.Unlock()
			}
			w.note("store down")
			time.Sleep(rand.N(4 * time.Second))
			for _, v := range w.vms {
				v.mu.Lock()
				v.down = false
				v.mu.Unlock()
			}
			w.note("store back")
		}
	}
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// Figures of labelsCase: two kinds of executors fill a rack each, and one more of the second stands in another rack.
const (
	labelRacks      = 8
	labelRackSize   = 10
	kindOfStep0     = "b"
	kindOfStep1     = "c"
	rackOfStep0     = 0
	rackOfStep1     = 1
	rackOfOther     = 2
	labelWorkMs     = 3000
	labelTasks      = 2
	labelNumber     = 6
	otherIsLostAt   = 1500 * time.Millisecond
	labelFollowTime = 40 * time.Second
)

// labelsCase: the steps of submissions need executors of two kinds, and one of these is lost for good.
func labelsCase(root, record string, trouble bool) *world {
	other := rackOfOther * labelRackSize
	w := newWorld(root, record, 6, labelRacks*labelRackSize, labelRackSize, func(i int) string {
		switch {
		case i/labelRackSize == rackOfStep0:
			return kindOfStep0
		case i/labelRackSize == rackOfStep1, i == other:
			return kindOfStep1
		}
		return "a"
	})
	var all []*sub
	for range labelNumber {
		s := &sub{Spec: "certificates", Steps: []*step{
			{Count: labelTasks, CPU: 1800, MemMB: 3200, EstimateMs: labelWorkMs, Requires: kindOfStep0, workMs: labelWorkMs},
			{Count: labelTasks, CPU: 1800, MemMB: 3200, EstimateMs: labelWorkMs, Requires: kindOfStep1, DependsOn: []int{0}, workMs: labelWorkMs},
		}}
		w.submit(s)
		all = append(all, s)
	}
	if trouble {
		time.Sleep(otherIsLostAt)
		w.execs[other].crash(time.Hour, false)
	}
	w.followAll(all, labelFollowTime)
	w.judgeIdle(nil, all)
	return w
}

// Figures of scheduleCase and stepsCase.
const (
	trafficTime   = 30 * time.Second
	trafficGap    = 200 * time.Millisecond
	finishTime    = 14 * time.Second // finish_s
	idleLimit     = 3 * time.Second  // for which a submission whose turn has come may have nothing running
	firstHopeless = 5 * time.Second
	// The schedule of scheduleCase is due each second and began three hours ago; it has 20,000 occurrences.
	scheduleAge      = 3 * time.Hour
	scheduleInterval = time.Second
	scheduleLength   = 20_000
	// The submissions of stepsCase are 4 of 154. Their bodies have 256 kB; the limit of the configuration is
	// 262,144 bytes.
	hopelessSteps  = 7000
	hopelessGap    = 5 * time.Second
	hopelessNumber = 4
)

// missingLabel is a label that no executor has.
const missingLabel = "c"

// scheduleCase: a schedule that began hours ago needs a label that no executor has.
func scheduleCase(root, record string, trouble bool) *world {
	return hopelessCase(root, record, trouble, func(w *world) {
		w.submit(&sub{
			Spec: "release", Steps: []*step{{Count: 1, CPU: 100, Requires: missingLabel, workMs: 500}},
			MaxRuns: scheduleLength, FirstDueMs: time.Now().Add(-scheduleAge).UnixMilli(), IntervalMs: scheduleInterval.Milliseconds(),
		})
	})
}

// stepsCase: submissions with thousands of steps need a label that no executor has.
func stepsCase(root, record string, trouble bool) *world {
	return hopelessCase(root, record, trouble, func(w *world) {
		for range hopelessNumber {
			s := &sub{Spec: "release"}
			for range hopelessSteps {
				s.Steps = append(s.Steps, &step{Count: 1, CPU: 100, Requires: missingLabel, workMs: 500})
			}
			w.submit(s)
			time.Sleep(hopelessGap)
		}
	})
}

// Figures of wideCase: the submissions come at less than the usual rate of their class, 7 a second.
const (
	wideNumber = 130
	wideGap    = 150 * time.Millisecond
	wideTasks  = 10_000
)

// wideCase: many submissions have thousands of tasks, which wait for room.
func wideCase(root, record string, trouble bool) *world {
	w := hopelessCase(root, record, trouble, func(w *world) {
		var group sync.WaitGroup
		for range wideNumber {
			s := &sub{Spec: "release", Steps: []*step{{Count: wideTasks, CPU: 1800, MemMB: 3200, EstimateMs: 2200, workMs: 2200}}}
			group.Go(func() { w.submit(s) })
			time.Sleep(wideGap)
		}
		group.Wait()
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.vms {
		w.record("%s was killed %d times for its memory", v.name, v.overLimit)
	}
	return w
}

// hopelessCase plays small submissions and one that lasts, beside those that handIn hands in.
func hopelessCase(root, record string, trouble bool, handIn func(w *world)) *world {
	w := newWorld(root, record, 6, 66, usualRack, func(int) string { return "a" })
	lasting := &sub{Spec: "watch", Steps: []*step{{Count: 6, CPU: 3200, MemMB: 6400, EstimateMs: 320, LongRunning: true}}}
	w.submit(lasting)
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			time.Sleep(firstHopeless)
			handIn(w)
		})
	}
	var all []*sub
	for end := time.Now().Add(trafficTime); time.Now().Before(end); time.Sleep(trafficGap) {
		s := &sub{Spec: "check", Steps: []*step{{Count: 3, CPU: 1000, MemMB: 1000, EstimateMs: 500, workMs: 500}}}
		all = append(all, s)
		group.Go(func() { w.submit(s) })
	}
	group.Wait()
	w.note("traffic ends")
	time.Sleep(finishTime)
	w.judgeIdle(lasting, all)
	return w
}

// lastingGrace is the time after its last run from which a task that lasts must be running again.
const lastingGrace = 6 * time.Second

// room is what an executor had at least free during a time, nothing if it was not there all the while.
type room struct {
	e        *executor
	cpu, mem int64
}

// hasTwice reports whether there is room for some tasks of a step twice over, besides what ran.
func hasTwice(rooms []*room, st *step, tasks int) bool {
	places := int64(0)
	for _, r := range rooms {
		if st.Requires != "" && st.Requires != r.e.kind && st.Requires != r.e.rack {
			continue
		}
		n := r.cpu / max(st.reserved(), 1)
		if st.MemMB > 0 {
			n = min(n, r.mem/st.MemMB)
		}
		places += n
	}
	return places >= 2*int64(tasks)
}

// hasTwiceForAll reports whether there is room twice over for each step of a submission.
func hasTwiceForAll(rooms []*room, s *sub) bool {
	for _, st := range s.Steps {
		if !hasTwice(rooms, st, st.Count) {
			return false
		}
	}
	return true
}

// judgeIdle checks for idleLimit whether accepted submissions have nothing running although there is room.
func (w *world) judgeIdle(lasting *sub, all []*sub) {
	begin := time.Now()
	ran := map[string]bool{} // submissions, and tasks of the lasting one
	peak := int64(0)
	var rooms []*room
	for _, e := range w.execs {
		rooms = append(rooms, &room{e: e, cpu: executorMilliCPU, mem: executorMemoryMB})
	}
	for end := begin.Add(idleLimit); time.Now().Before(end); time.Sleep(tickInterval) {
		w.mu.Lock()
		used := int64(0)
		for i, e := range w.execs {
			cpu, mem := int64(0), int64(0)
			for task, r := range e.running {
				ran[idOf(task)], ran[task] = true, true
				st := w.subs[idOf(r.task)].Steps[stepOf(r.task)]
				cpu += st.reserved()
				mem += st.MemMB
			}
			used += cpu
			if !e.up || e.draining {
				cpu, mem = executorMilliCPU, executorMemoryMB
			}
			rooms[i].cpu = min(rooms[i].cpu, executorMilliCPU-cpu)
			rooms[i].mem = min(rooms[i].mem, executorMemoryMB-mem)
		}
		peak = max(peak, used)
		w.mu.Unlock()
	}
	capacity := int64(len(w.execs)) * executorMilliCPU
	underHalf := 2*peak < capacity
	w.note("in use at most %d of %d mCPU for %v", peak, capacity, idleLimit)
	states := map[string]int{}
	for _, s := range all {
		if !s.accepted {
			continue
		}
		state := w.state(s)
		for range 5 {
			if state != "" {
				break
			}
			state = w.state(s)
		}
		states[state]++
		w.mu.Lock()
		switch {
		case state == "":
			w.judge.broken("LOST", "%s was accepted and gets no answer", s.id)
		case !isFinal(state) && !ran[s.id] && underHalf && hasTwiceForAll(rooms, s):
			w.judge.broken("LOST", "%s was accepted %.0f s ago, is %s, and has had nothing running for %v", s.id, time.Since(s.acceptAt).Seconds(), state, idleLimit)
		}
		w.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record("states at the end: %v", states)
	if lasting == nil || !underHalf || !hasTwice(rooms, lasting.Steps[0], 1) {
		return
	}
	for i := range lasting.Steps[0].Count {
		task := fmt.Sprintf("%s.0.0.%d", lasting.id, i)
		last, ok := w.judge.lastEnd[task]
		if !ok {
			last = lasting.acceptAt
		}
		if idle := begin.Sub(last); !ran[task] && idle >= lastingGrace {
			w.judge.broken("LOST", "%s lasts and has not been running for %v, from %.1f s after its last run", task, idleLimit, idle.Seconds())
		}
	}
}
