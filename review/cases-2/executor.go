package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peridotlock/peridotlock/faultnet"
)

// Figures of a small deployment, as the users' pages give them.
const (
	executorHeartbeat = 1100 * time.Millisecond
	maxHold           = 6 * time.Second
	maxHoldWait       = 2 * time.Second
	stopTime          = 200 * time.Millisecond
	gangWait          = 3 * time.Second
	checkpointEvery   = 2 * time.Second
	restoreTime       = 250 * time.Millisecond
	maxListedEnds     = 500
	pollInterval      = 5 * time.Millisecond
)

// executor is a stand-in of one executor of the platform. The lock of its world protects it.
type executor struct {
	w       *world
	id      string
	machine string // name in records, which stays when the ID changes
	rack    string
	kind    string
	milli   int64
	memMB   int64
	addr    string
	relay   *faultnet.Relay // nil in a world without relays
	server  *http.Server

	up      bool
	born    time.Time
	fence   int64
	leaseMs int64 // on the executor's clock
	runs    map[string]*run
	highest map[string]int // highest run stopped or ended, by task
	ended   []end
	acked   int // ends up to it are forgotten
}

type run struct {
	task     string
	number   int
	sub      *submission
	step     *step
	began    time.Time
	works    time.Time // since when it works, zero while a gang waits for its others
	resumed  time.Duration
	carried  string    // the lastCheckpoint of its start
	stopping time.Time // zero unless a stop was asked for
}

type end struct {
	number     int
	at         time.Time
	lapsed     bool // the lease has lapsed since
	task       string
	run        int
	how, saved string
}

func (w *world) newExecutor(machine, rack, kind string, milli, memMB int64) (*executor, error) {
	e := &executor{w: w, machine: machine, id: "i-" + machine, rack: rack, kind: kind, milli: milli, memMB: memMB}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e}
	go e.server.Serve(l) // ends with close
	e.addr = l.Addr().String()
	if !w.direct {
		if e.relay, err = faultnet.New(e.addr); err != nil {
			return nil, err
		}
		e.addr = e.relay.Addr()
	}
	e.begin()
	w.executors = append(w.executors, e)
	go e.register()
	return e, nil
}

// begin starts a life that holds and knows nothing of before.
func (e *executor) begin() {
	e.up, e.born = true, time.Now()
	e.fence, e.leaseMs, e.acked = 0, 0, 0
	e.runs, e.highest, e.ended = map[string]*run{}, map[string]int{}, nil
}

// crash ends the executor's life with all its runs: its channels are reset and its port is
// closed. The caller holds the lock.
func (e *executor) crash() {
	e.w.record("crash", e, "", 0, fmt.Sprintf("%d runs", len(e.runs)))
	lost := e.runs
	e.up, e.runs = false, map[string]*run{}
	for _, r := range lost {
		e.w.breakGang(r)
	}
	e.relay.Set(faultnet.Condition{Refuse: true})
	e.relay.ResetConnections()
}

// start begins a new life under an ID. The caller holds the lock.
func (e *executor) start(id, kind string) {
	e.id, e.kind = id, kind
	e.begin()
	e.relay.Set(faultnet.Condition{})
	e.w.record("start of a life", e, "", 0, "kind "+kind)
}

// entry returns the executor's entry in the platform's store.
func (e *executor) entry() string {
	return fmt.Sprintf(`{"backend":%q,"address":%q,"zone":"zone-a","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,`+
		`"capacity":{"cpu":%d,"memMb":%d,"gpu":0},"labels":[%q,%q],"born":%d,"seq":%d}`,
		serviceName, e.addr, e.milli, e.memMB, e.kind, e.rack, e.born.UnixMilli(), time.Since(e.born).Milliseconds())
}

// register writes the entry every executorHeartbeat, in a new life for the first time at a random
// moment of the first one, or at once if w.entersAtOnce is set. It is removed after three heartbeats
// of silence.
func (e *executor) register() {
	var life, written, first time.Time
	listed := ""
	for {
		e.w.mu.Lock()
		up, born, id, entry := e.up, e.born, e.id, e.entry()
		e.w.mu.Unlock()
		now := time.Now()
		if listed != "" && (listed != id || now.Sub(written) > 3*executorHeartbeat) {
			e.w.store.Put("servers", listed, "")
			listed = ""
		}
		if up && born != life {
			life, first = born, born.Add(rand.N(executorHeartbeat))
			if e.w.entersAtOnce {
				first = now
			}
		}
		if up && !now.Before(first) && (written.Before(life) || now.Sub(written) >= executorHeartbeat) {
			e.w.store.Put("servers", id, entry)
			written, listed = now, id
		}
		time.Sleep(pollInterval)
	}
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"lastCheckpoint"`
	LastSeen   int    `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// ServeHTTP answers orders as PROTOCOL says.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	if !e.up {
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < e.w.lateShare && !strings.HasSuffix(r.URL.Path, "hold") {
		e.carryOutLate(r, body)
		panic(http.ErrAbortHandler)
	}
	e.serve(w, r, body)
}

// carryOutLate carries an order out 2 to 12 s later, if the life that received it still goes on.
func (e *executor) carryOutLate(r *http.Request, body orderBody) {
	born, late := e.born, r.Clone(context.Background())
	e.w.record("order gets no answer", e, body.Task, body.Run, r.URL.Path)
	time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		if e.up && e.born == born {
			e.w.record("order carried out late", e, body.Task, body.Run, r.URL.Path)
			e.serve(httptest.NewRecorder(), late, body)
		}
	})
}

// serve carries an order out. The caller holds the lock.
func (e *executor) serve(w http.ResponseWriter, r *http.Request, body orderBody) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if body.Fence < e.fence {
		e.refuse(w, "fence")
		return
	}
	e.fence = body.Fence
	switch r.URL.Path {
	case "/api/run-start":
		e.startRun(w, body)
	case "/api/run-stop":
		if r := e.runs[body.Task]; r != nil && r.number <= body.Run && r.stopping.IsZero() {
			e.w.record("stop", e, r.task, r.number, "")
			r.stopping = time.Now()
		} else if r == nil {
			e.highest[body.Task] = max(e.highest[body.Task], body.Run)
		}
		e.reply(w, map[string]any{})
	case "/api/hold":
		e.hold(w, body)
	default: // pace: tasks here neither serve nor fill
		e.reply(w, map[string]any{})
	}
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	json.NewEncoder(w).Encode(map[string]any{"clockMs": e.clock(), "reason": reason})
}

func (e *executor) reply(w http.ResponseWriter, body map[string]any) {
	body["clockMs"], body["born"] = e.clock(), e.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}

func (e *executor) extendLease(until int64) {
	e.leaseMs = max(e.leaseMs, min(until, e.clock()+maxHold.Milliseconds()))
}

func (e *executor) startRun(w http.ResponseWriter, o orderBody) {
	if e.clock() > o.DeadlineMs {
		e.refuse(w, "late")
		return
	}
	e.extendLease(o.DeadlineMs)
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		e.reply(w, map[string]any{})
		return
	} else if r != nil || o.Run <= e.highest[o.Task] {
		e.refuse(w, "old")
		return
	}
	sub, st := e.w.find(o.Task)
	if sub == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	milli, mem := st.CPU, st.MemMB
	for _, r := range e.runs {
		milli, mem = milli+r.step.CPU, mem+r.step.MemMB
	}
	if milli > e.milli || mem > e.memMB {
		e.refuse(w, "room")
		return
	}
	r := &run{task: o.Task, number: o.Run, sub: sub, step: st, began: time.Now(), carried: o.Checkpoint, resumed: progressOf(o.Checkpoint)}
	e.runs[o.Task] = r
	detail := "kind " + e.kind
	if st.Requires != "" {
		detail += ", requires " + st.Requires
	}
	if o.Checkpoint != "" {
		detail += ", lastCheckpoint " + o.Checkpoint
	}
	e.w.record("run", e, o.Task, o.Run, detail)
	e.w.noteStart(e, r)
	if !st.Gang {
		r.works = time.Now().Add(restoreOf(o.Checkpoint))
	} else {
		e.w.joinGang(r)
	}
	e.reply(w, map[string]any{})
}

func (e *executor) hold(w http.ResponseWriter, o orderBody) {
	e.extendLease(o.DeadlineMs)
	for i := e.acked; i < min(o.LastSeen, len(e.ended)); i++ {
		e.acked = i + 1
		if e.w.onAck != nil && !e.ended[i].lapsed {
			e.w.onAck(e, e.ended[i])
		}
	}
	born := e.born
	until := time.Now().Add(min(maxHoldWait, time.Duration(o.WaitMs)*time.Millisecond))
	for len(e.ended) == e.acked && time.Now().Before(until) {
		e.w.mu.Unlock()
		time.Sleep(pollInterval)
		e.w.mu.Lock()
		if !e.up || e.born != born {
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range e.runs {
		percent := 0
		if !r.works.IsZero() {
			percent = int(min(100, 100*r.progress()/r.work()))
			if r.step.LongRunning {
				percent = 100
			}
		}
		running = append(running, []any{r.task, r.number, r.saved(), percent, r.step.CPU})
	}
	for _, x := range e.ended[e.acked:min(len(e.ended), e.acked+maxListedEnds)] {
		finished = append(finished, []any{x.number, x.task, x.run, x.how, x.saved})
	}
	e.reply(w, map[string]any{"running": running, "finished": finished})
}

// advance ends the runs whose time has come. The caller holds the lock.
func (e *executor) advance(now time.Time) {
	if !e.up {
		return
	}
	lapsed := e.clock() > e.leaseMs
	for i := e.acked; lapsed && i < len(e.ended); i++ {
		e.ended[i].lapsed = true
	}
	for _, r := range e.runs {
		switch {
		case lapsed:
			e.endRun(r, "lapsed")
		case !r.stopping.IsZero():
			if now.Sub(r.stopping) >= stopTime {
				e.endRun(r, "stopped")
			}
		case r.works.IsZero():
			if now.Sub(r.began) >= gangWait {
				e.endRun(r, "alone")
			}
		case !r.step.LongRunning && r.progress() >= r.work():
			e.endRun(r, "done")
		}
	}
}

// endRun ends a run and, if it is one of a gang, those of the others.
func (e *executor) endRun(r *run, how string) {
	if e.runs[r.task] != r {
		return
	}
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	x := end{number: len(e.ended) + 1, at: time.Now(), task: r.task, run: r.number, how: how, saved: r.saved()}
	e.ended = append(e.ended, x)
	e.w.record("end "+how, e, r.task, r.number, "saved "+strconv.Quote(x.saved))
	e.w.noteEnd(r, how)
	if how == "done" {
		e.w.finishGang(r)
	} else {
		e.w.breakGang(r)
	}
}

// work returns the work of the run's task, which differs from the estimate by up to a quarter. The
// tasks of a gang work together.
func (r *run) work() time.Duration {
	if r.step.Gang {
		return r.step.work()
	}
	return r.step.work() * time.Duration(75+hash(r.task)%51) / 100
}

func (r *run) progress() time.Duration {
	if r.works.IsZero() {
		return r.resumed
	}
	return r.resumed + max(0, time.Since(r.works))
}

// saved returns the newest checkpoint of the run: a new one with each checkpointEvery of work. It
// is the one that its start carried before the first.
func (r *run) saved() string {
	if !r.step.Checkpointable {
		return ""
	}
	n := r.progress() / checkpointEvery
	if n == 0 {
		return r.carried
	}
	name := r.task
	if r.step.Gang { // the value from any member is valid for the gang
		name = name[:strings.LastIndexByte(name, '.')]
	}
	return fmt.Sprintf("%08x%08x", hash(name), int64(n))
}

// progressOf returns the work that a checkpoint holds.
func progressOf(checkpoint string) time.Duration {
	if len(checkpoint) != 16 {
		return 0
	}
	n, err := strconv.ParseInt(checkpoint[8:], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * checkpointEvery
}

func restoreOf(checkpoint string) time.Duration {
	if checkpoint == "" {
		return 0
	}
	return restoreTime
}

// gangOf returns the present runs of the same gang and run.
func (w *world) gangOf(r *run) (runs []*run, on []*executor) {
	for _, e := range w.executors {
		for _, other := range e.runs {
			if other.sub == r.sub && other.step == r.step && other.number == r.number {
				runs, on = append(runs, other), append(on, e)
			}
		}
	}
	return runs, on
}

// joinGang lets a gang work once all its tasks of one run are present. All must carry the same
// lastCheckpoint.
func (w *world) joinGang(r *run) {
	runs, _ := w.gangOf(r)
	if len(runs) < r.step.Count || slices.ContainsFunc(runs, func(o *run) bool { return o.carried != r.carried || !o.works.IsZero() }) {
		return
	}
	for _, o := range runs {
		o.works = time.Now().Add(restoreOf(o.carried))
	}
	w.record("gang works", nil, r.task, r.number, "")
}

func (w *world) breakGang(r *run) {
	if !r.step.Gang || r.works.IsZero() {
		return
	}
	r.works = time.Time{} // the others don't end it again
	runs, on := w.gangOf(r)
	for i, o := range runs {
		if !o.works.IsZero() {
			x := o.saved()
			o.works, o.resumed, o.carried = time.Time{}, progressOf(x), x
			on[i].endRun(o, "broken")
		}
	}
}

func (w *world) finishGang(r *run) {
	if !r.step.Gang {
		return
	}
	runs, on := w.gangOf(r)
	for i, o := range runs {
		on[i].endRun(o, "done")
	}
}
