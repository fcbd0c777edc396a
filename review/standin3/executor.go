package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Figures of a small deployment, as its page states them.
const (
	checkpointInterval = 2 * time.Second
	restoreTime        = 250 * time.Millisecond
	stopTime           = 200 * time.Millisecond
	gangWait           = 3 * time.Second
	maxLease           = 6 * time.Second
	entryInterval      = 1100 * time.Millisecond
	executorMilliCPU   = 16000
	executorMemoryMB   = 64000
	tickInterval       = 5 * time.Millisecond
	maxListedEnds      = 500
	maxHoldWait        = 2 * time.Second
	serviceName        = "desk"
)

// executor is one machine that runs tasks. It is one instance at a time.
type executor struct {
	w       *world
	name    string
	kind    string
	rack    string
	zone    string
	address string

	// Protected by world.mu.
	id         string
	up         bool
	cutOff     bool // calls get no answer and have no effect; runs go on
	bornMs     int64
	started    time.Time
	fence      int64
	leaseUntil int64 // executor's clock in ms
	running    map[string]*run
	finished   []end
	forgotten  int // number of ends that are acknowledged
	highest    map[string]int
	draining   bool
	drainSince time.Time
	conns      map[net.Conn]bool
	lateShare  float64 // of the orders that get no answer and are carried out 2 to 12 s later
	lostShare  float64 // of the starts that are carried out without an answer
}

type run struct {
	e        *executor
	task     string
	number   int
	at       time.Time
	work     time.Duration // that is done, with what the checkpoint saved
	workedAt time.Time     // zero while a gang waits
	saved    string
	stopAt   time.Time
	gang     *gang
}

type end struct {
	number int
	task   string
	run    int
	how    string
	saved  string
	at     time.Time
	lapsed bool // the lease lapsed before the end was acknowledged
	noted  bool
}

// gang is one run of a gang.
type gang struct {
	key     string
	members map[string]*run
	size    int
	working bool
	value   string // lastCheckpoint of its first start
	starts  int
}

func newExecutor(w *world, i int, zone, rack, kind string) *executor {
	e := &executor{w: w, name: fmt.Sprintf("m%02d", i), kind: kind, rack: rack, zone: zone, conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal("listen: %v", err)
	}
	e.address = l.Addr().String()
	server := &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch s {
		case http.StateNew:
			if !e.up {
				c.Close()
				return
			}
			e.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(e.conns, c)
		}
	}}
	go server.Serve(l)
	w.mu.Lock()
	e.rise("i-" + e.name + "-" + strconv.Itoa(rand.IntN(1e6)))
	w.mu.Unlock()
	go e.register()
	return e
}

// rise begins an instance. The caller holds world.mu.
func (e *executor) rise(id string) {
	e.id, e.up, e.draining = id, true, false
	e.started = time.Now()
	e.bornMs = e.started.UnixMilli()
	e.fence, e.leaseUntil, e.forgotten = 0, 0, 0
	e.running, e.finished, e.highest = map[string]*run{}, nil, map[string]int{}
	go e.put(id)
}

// crash ends the instance; another one rises after a time, under another id unless keepID is set.
func (e *executor) crash(down time.Duration, keepID bool) {
	w := e.w
	w.mu.Lock()
	if !e.up {
		w.mu.Unlock()
		return
	}
	old := e.id
	w.record("crash %s %s for %v", e.name, old, down)
	e.up = false
	for _, r := range e.sorted() {
		delete(e.running, r.task)
		w.judge.lost(r)
		if r.gang != nil {
			delete(r.gang.members, r.task)
			r.gang.breakUp("broken")
		}
	}
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	w.mu.Unlock()
	if !keepID {
		time.AfterFunc(3*entryInterval, func() { w.store.Put("servers", old, "") })
	}
	time.AfterFunc(down, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		id := old
		if !keepID {
			id = "i-" + e.name + "-" + strconv.Itoa(rand.IntN(1e6))
		}
		e.rise(id)
		w.record("up %s %s", e.name, id)
	})
}

// register writes the entry again and again, as executors do.
func (e *executor) register() {
	for range time.Tick(entryInterval) {
		e.w.mu.Lock()
		up, id := e.up, e.id
		e.w.mu.Unlock()
		if up {
			e.put(id)
		}
	}
}

func (e *executor) put(id string) {
	e.w.mu.Lock()
	if !e.up || e.id != id {
		e.w.mu.Unlock()
		return
	}
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.w.seq++
	entry := fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"coldRemainingMs":0,"born":%d,"seq":%d,`+
		`"capacity":{"cpu":%d,"memMb":%d,"gpu":0},"labels":[%q,%q]}`,
		serviceName, e.address, e.zone, state, e.bornMs, e.w.seq, executorMilliCPU, executorMemoryMB, e.kind, e.rack)
	e.w.mu.Unlock()
	e.w.store.Put("servers", id, entry)
}

func (e *executor) clock() int64 { return time.Since(e.started).Milliseconds() + 1 }

func (e *executor) sorted() []*run {
	var out []*run
	for _, r := range e.running {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return strings.Compare(a.task, b.task) })
	return out
}

// advance ends runs that are due. The caller holds world.mu.
func (e *executor) advance() {
	if !e.up {
		return
	}
	now := time.Now()
	if e.clock() > e.leaseUntil {
		for i := range e.finished {
			if !e.finished[i].noted {
				e.finished[i].lapsed = true
			}
		}
		for _, r := range e.sorted() {
			e.end(r, "lapsed")
		}
		return
	}
	for _, r := range e.sorted() {
		if e.running[r.task] != r {
			continue // ended with its gang
		}
		if !r.stopAt.IsZero() {
			if now.After(r.stopAt) {
				e.end(r, "stopped")
			}
			continue
		}
		s := e.w.subs[idOf(r.task)]
		step := s.Steps[stepOf(r.task)]
		if r.gang != nil && !r.gang.working {
			if now.Sub(r.at) > gangWait {
				e.end(r, "alone")
			}
			continue
		}
		r.progress(now)
		if step.LongRunning {
			continue
		}
		if r.work < time.Duration(step.workMs)*time.Millisecond {
			continue
		}
		if s.hopeless {
			e.end(r, "failed")
			continue
		}
		e.end(r, "done")
	}
}

// progress adds the work since the last call and takes the checkpoints that are due.
func (r *run) progress(now time.Time) {
	if r.workedAt.IsZero() {
		return
	}
	before := r.work
	if d := now.Sub(r.workedAt); d > 0 { // else it is being restored
		r.work += d
		r.workedAt = now
	}
	step := r.e.w.subs[idOf(r.task)].Steps[stepOf(r.task)]
	if step.Checkpointable && r.work/checkpointInterval > before/checkpointInterval {
		r.save(r.work / checkpointInterval * checkpointInterval)
	}
}

func (r *run) save(work time.Duration) {
	r.saved = checkpoint(work, r.task)
	r.e.w.judge.saved(r)
}

func checkpoint(work time.Duration, task string) string {
	return fmt.Sprintf("%08x%s", work.Milliseconds(), idOf(task)[:8])
}

// end ends a run, and the others of its gang.
func (e *executor) end(r *run, how string) {
	delete(e.running, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	step := e.w.subs[idOf(r.task)].Steps[stepOf(r.task)]
	if how == "stopped" && step.Checkpointable && r.work > 0 {
		r.save(r.work)
	}
	e.finished = append(e.finished, end{number: len(e.finished) + 1, task: r.task, run: r.number, how: how, saved: r.saved, at: time.Now()})
	e.w.judge.ended(r, how)
	g := r.gang
	if g == nil {
		return
	}
	delete(g.members, r.task)
	switch {
	case how == "done":
		g.breakUp("done")
	case how == "alone":
	case g.working:
		g.breakUp("broken")
	}
}

// breakUp ends the remaining members of a gang, unless it still waits for members.
func (g *gang) breakUp(how string) {
	if !g.working {
		return
	}
	for _, r := range g.members {
		delete(g.members, r.task)
		r.progress(time.Now())
		r.gang = nil
		r.e.end(r, how)
	}
}

type order struct {
	Task       string  `json:"task"`
	Run        int     `json:"run"`
	Spec       string  `json:"spec"`
	DeadlineMs int64   `json:"deadlineMs"`
	Fence      int64   `json:"fence"`
	Checkpoint string  `json:"lastCheckpoint"`
	LastSeen   int     `json:"lastSeen"`
	WaitMs     float64 `json:"waitMs"`
}

// ServeHTTP carries out one order.
func (e *executor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	want := r.Header.Get("Expect-Instance")
	w := e.w
	w.mu.Lock()
	if !e.up || e.cutOff {
		w.mu.Unlock()
		select { // no answer
		case <-r.Context().Done():
		case <-time.After(20 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	born := e.bornMs
	if e.lateShare > 0 && rand.Float64() < e.lateShare {
		w.mu.Unlock()
		path := r.URL.Path
		time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if e.up && e.bornMs == born && (want == "" || want == e.id) {
				w.record("late %s %s run %d at %s", path, o.Task, o.Run, e.name)
				e.carryOut(path, o, true)
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if want != "" && want != e.id {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, reason := e.carryOut(r.URL.Path, o, false)
	lost := r.URL.Path == "/api/run-start" && e.lostShare > 0 && rand.Float64() < e.lostShare
	answer := map[string]any{"clockMs": e.clock(), "born": e.bornMs}
	if reason != "" {
		answer["reason"] = reason
	}
	if status == http.StatusOK && r.URL.Path == "/api/hold" {
		deadline := time.Now().Add(min(maxHoldWait, time.Duration(o.WaitMs)*time.Millisecond))
		for len(e.finished) == e.forgotten && time.Now().Before(deadline) {
			w.mu.Unlock()
			time.Sleep(tickInterval)
			w.mu.Lock()
			if !e.up || e.bornMs != born || e.cutOff {
				w.mu.Unlock()
				panic(http.ErrAbortHandler)
			}
		}
		running, finished := [][]any{}, [][]any{}
		for _, r := range e.sorted() {
			r.progress(time.Now())
			step := w.subs[idOf(r.task)].Steps[stepOf(r.task)]
			percent, figure := 100, 100
			if !step.LongRunning {
				percent = int(100 * r.work / (time.Duration(step.workMs) * time.Millisecond))
			}
			if step.TargetMs > 0 {
				figure = int(step.TargetMs / 2)
			}
			running = append(running, []any{r.task, r.number, r.saved, min(percent, 100), figure})
		}
		for _, f := range e.finished[e.forgotten:min(len(e.finished), e.forgotten+maxListedEnds)] {
			finished = append(finished, []any{f.number, f.task, f.run, f.how, f.saved})
		}
		answer["running"], answer["finished"], answer["clockMs"] = running, finished, e.clock()
	}
	w.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	json.NewEncoder(rw).Encode(answer)
}

// carryOut applies an order; the caller holds world.mu.
func (e *executor) carryOut(path string, o order, late bool) (status int, reason string) {
	e.advance()
	if o.Fence < e.fence {
		return http.StatusConflict, "fence"
	}
	e.fence = o.Fence
	if path != "/api/run-start" || e.clock() <= o.DeadlineMs {
		e.leaseUntil = max(e.leaseUntil, min(o.DeadlineMs, e.clock()+maxLease.Milliseconds()))
	}
	switch path {
	case "/api/run-start":
		return e.start(o, late)
	case "/api/run-stop":
		if r := e.running[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime / 2)
		}
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		e.w.judge.stopOrdered(e, o)
	case "/api/hold":
		for i := e.forgotten; i < min(o.LastSeen, len(e.finished)); i++ {
			if !e.finished[i].lapsed {
				e.finished[i].noted = true
				e.w.judge.noted(e.finished[i])
			}
		}
		e.forgotten = max(e.forgotten, min(o.LastSeen, len(e.finished)))
	}
	return http.StatusOK, ""
}

func (e *executor) start(o order, late bool) (status int, reason string) {
	w := e.w
	if e.clock() > o.DeadlineMs {
		return http.StatusConflict, "late"
	}
	if r := e.running[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	if e.running[o.Task] != nil || o.Run <= e.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	s := w.subs[idOf(o.Task)]
	if s == nil || stepOf(o.Task) >= len(s.Steps) {
		w.judge.broken("UNASKED", "start of %s, which nobody sent", o.Task)
		return http.StatusBadRequest, ""
	}
	step := s.Steps[stepOf(o.Task)]
	if w.guards {
		used, usedMem := step.reserved(), step.MemMB
		for _, r := range e.running {
			other := w.subs[idOf(r.task)].Steps[stepOf(r.task)]
			used += other.reserved()
			usedMem += other.MemMB
		}
		if used > executorMilliCPU || usedMem > executorMemoryMB {
			w.record("room %s run %d at %s", o.Task, o.Run, e.name)
			return http.StatusConflict, "room"
		}
	}
	r := &run{e: e, task: o.Task, number: o.Run, at: time.Now(), saved: o.Checkpoint}
	if o.Checkpoint != "" {
		ms, _ := strconv.ParseInt(o.Checkpoint[:min(8, len(o.Checkpoint))], 16, 64)
		r.work = time.Duration(ms) * time.Millisecond
	}
	w.record("start %s run %d at %s fence %d lastCheckpoint %q late %v", o.Task, o.Run, e.name, o.Fence, o.Checkpoint, late)
	w.judge.started(r, o, late)
	e.running[o.Task] = r
	if !step.Gang {
		r.workedAt = time.Now()
		if o.Checkpoint != "" {
			r.workedAt = r.workedAt.Add(restoreTime)
		}
		return http.StatusOK, ""
	}
	key := fmt.Sprintf("%s#%d", o.Task[:strings.LastIndexByte(o.Task, '.')], o.Run)
	g := w.gangs[key]
	if g == nil {
		g = &gang{key: key, members: map[string]*run{}, size: step.Count}
		w.gangs[key] = g
	}
	w.judge.gangStarted(g, o)
	g.members[o.Task], r.gang = r, g
	if len(g.members) == g.size {
		g.working = true
		for _, m := range g.members {
			m.workedAt = time.Now()
			if m.saved != "" {
				m.workedAt = m.workedAt.Add(restoreTime)
			}
		}
	}
	return http.StatusOK, ""
}

func idOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

func stepOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 1 << 30
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return 1 << 30
	}
	return n
}

func occurrenceOf(task string) int {
	n, _ := strconv.Atoi(strings.Split(task, ".")[1])
	return n
}
