package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// sub is a submission of a caller, with what its stand-in knows of its tasks.
type sub struct {
	Spec       string  `json:"spec"`
	Steps      []*step `json:"steps"`
	MaxRuns    int     `json:"maxRuns,omitempty"`
	FirstDueMs int64   `json:"initialDelayMs,omitempty"`
	IntervalMs int64   `json:"intervalMs,omitempty"`

	id        string
	hopeless  bool
	accepted  bool
	acceptAt  time.Time
	cancelled time.Time // when its cancelling was acknowledged
	cancelTry bool
	lastState string
	body      string
	refused   bool // all tries were answered with 429, 503 or 404
}

type step struct {
	Count           int     `json:"count"`
	CPU             int64   `json:"cpu"`
	MemMB           int64   `json:"memMb,omitempty"`
	EstimateMs      int64   `json:"estimateMs,omitempty"`
	DependsOn       []int   `json:"dependsOn,omitempty"`
	Checkpointable  bool    `json:"checkpointable,omitempty"`
	Gang            bool    `json:"gang,omitempty"`
	Requires        string  `json:"requires,omitempty"`
	AntiAffinity    int     `json:"antiAffinity,omitempty"`
	LongRunning     bool    `json:"longRunning,omitempty"`
	AllowDuplicates bool    `json:"allowDuplicates,omitempty"`
	Image           string  `json:"image,omitempty"`
	TargetMs        float64 `json:"targetMs,omitempty"`
	Fills           bool    `json:"fills,omitempty"`
	MayMiss         int     `json:"mayMiss,omitempty"`

	workMs int64
}

func (s *step) reserved() int64 {
	if s.Fills {
		return 0
	}
	return s.CPU
}

// judge checks the rules of the platform's page by what callers and executors see. Its methods are
// called with world.mu held, but for those of callers.
type judge struct {
	w          *world
	runs       map[string][]*run // active, by task
	doneTasks  map[string]bool   // has ended done
	doneNoted  map[string]bool
	lastStart  map[string]time.Time
	lastEnd    map[string]time.Time // of a run on an executor, however it ended
	failed     map[string]int       // ends failed that were noted
	failedEnds map[string]int       // all ends failed
	values     map[string]map[string]bool
	breaks     []string
}

func newJudge(w *world) *judge {
	return &judge{w: w, runs: map[string][]*run{}, doneTasks: map[string]bool{}, doneNoted: map[string]bool{}, lastStart: map[string]time.Time{}, lastEnd: map[string]time.Time{},
		failed: map[string]int{}, failedEnds: map[string]int{}, values: map[string]map[string]bool{}}
}

func (j *judge) broken(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	j.breaks = append(j.breaks, line)
	j.w.record("BROKEN %s", line)
}

func (j *judge) started(r *run, o order, late bool) {
	s := j.w.subs[idOf(r.task)]
	st := s.Steps[stepOf(r.task)]
	if s.refused {
		j.broken("REFUSED", "%s starts, and all tries to hand its submission in were refused", r.task)
	}
	if o.Spec != s.Spec {
		j.broken("UNASKED", "%s run %d has another spec", r.task, r.number)
	}
	key := r.task
	if st.Gang {
		key = r.task[:strings.LastIndexByte(r.task, '.')]
	}
	if o.Checkpoint != "" && !j.values[key][o.Checkpoint] {
		j.broken("UNASKED", "%s run %d carries the lastCheckpoint %q, which none of its runs has saved", r.task, r.number, o.Checkpoint)
	}
	if !s.cancelled.IsZero() && time.Since(s.cancelled) > 3*time.Second && !late {
		j.broken("UNASKED", "%s run %d starts %v after its cancelling was acknowledged", r.task, r.number, time.Since(s.cancelled))
	}
	if others := j.runs[r.task]; len(others) > 0 && !st.AllowDuplicates {
		j.broken("TWICE", "%s run %d at %s while run %d is at %s", r.task, r.number, r.e.name, others[0].number, others[0].e.name)
	}
	if j.doneNoted[r.task] && !st.AllowDuplicates {
		j.broken("TWICE", "%s run %d at %s after a run ended done and that was noted", r.task, r.number, r.e.name)
	}
	j.lastStart[r.task] = time.Now()
	parts := strings.Split(r.task, ".")
	for _, d := range st.DependsOn {
		for i := range s.Steps[d].Count {
			if t := fmt.Sprintf("%s.%s.%d.%d", parts[0], parts[1], d, i); !j.doneTasks[t] {
				j.broken("ORDER", "%s starts before %s is done", r.task, t)
				break
			}
		}
	}
	if s.MaxRuns > 0 {
		due := s.FirstDueMs + int64(occurrenceOf(r.task))*s.IntervalMs
		if early := due - time.Now().UnixMilli(); early > 250 {
			j.broken("ORDER", "%s starts %d ms before its time", r.task, early)
		}
	}
	if st.Requires != "" && st.Requires != r.e.kind && st.Requires != r.e.rack {
		j.broken("ROUTE", "%s starts at %s without label %s", r.task, r.e.name, st.Requires)
	}
	if st.AntiAffinity > 0 {
		n := 1
		for _, other := range r.e.running {
			if strings.HasPrefix(other.task, r.task[:strings.LastIndexByte(r.task, '.')+1]) {
				n++
			}
		}
		if n > st.AntiAffinity {
			j.broken("ROUTE", "%s is number %d of its step at %s, allowed are %d", r.task, n, r.e.name, st.AntiAffinity)
		}
	}
	if j.failed[r.task] >= attempts && !st.LongRunning {
		j.broken("BUDGET", "%s run %d after %d runs failed", r.task, r.number, j.failed[r.task])
	}
	j.checkRoom(r)
	if since, ok := j.w.evacuated[r.e.zone]; ok && !late && time.Since(since) > evacuateLimit {
		j.broken("EVAC", "%s run %d starts at %s %v after the evacuation of its zone", r.task, r.number, r.e.name, time.Since(since))
	}
	if d := r.e.drainSince; r.e.draining && !late && time.Since(d) > drainLimit {
		j.broken("DRAIN", "%s run %d starts at %s %v after that began to drain", r.task, r.number, r.e.name, time.Since(d))
	}
	j.runs[r.task] = append(j.runs[r.task], r)
}

// Bounds of the rules.
const (
	evacuateLimit = 5 * time.Second
	drainLimit    = 2500*time.Millisecond + entryInterval
)

// checkRoom checks that a start leaves its executor within its capacity.
func (j *judge) checkRoom(r *run) {
	st := j.w.subs[idOf(r.task)].Steps[stepOf(r.task)]
	cpu, mem := st.reserved(), st.MemMB
	for _, other := range r.e.running {
		o := j.w.subs[idOf(other.task)].Steps[stepOf(other.task)]
		cpu += o.reserved()
		mem += o.MemMB
	}
	if cpu > executorMilliCPU || mem > executorMemoryMB {
		j.broken("LIMIT", "%s run %d brings %s to %d mCPU and %d MB", r.task, r.number, r.e.name, cpu, mem)
	}
}

// gangStarted checks that all members of one run of a gang carry the same lastCheckpoint.
func (j *judge) gangStarted(g *gang, o order) {
	g.starts++
	if g.starts == 1 {
		g.value = o.Checkpoint
		return
	}
	if o.Checkpoint != g.value {
		j.broken("UNASKED", "gang %s: %s carries the lastCheckpoint %q, another member carries %q", g.key, o.Task, o.Checkpoint, g.value)
	}
}

func (j *judge) saved(r *run) {
	key := r.task
	if j.w.subs[idOf(r.task)].Steps[stepOf(r.task)].Gang {
		key = r.task[:strings.LastIndexByte(r.task, '.')]
	}
	if j.values[key] == nil {
		j.values[key] = map[string]bool{}
	}
	j.values[key][r.saved] = true
}

func (j *judge) remove(r *run) {
	j.lastEnd[r.task] = time.Now()
	list := j.runs[r.task]
	for i, other := range list {
		if other == r {
			j.runs[r.task] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

func (j *judge) lost(r *run) {
	j.w.record("lost %s run %d with %s", r.task, r.number, r.e.name)
	j.remove(r)
}

func (j *judge) ended(r *run, how string) {
	j.w.record("end %s run %d at %s %s saved %q", r.task, r.number, r.e.name, how, r.saved)
	j.remove(r)
	switch how {
	case "done":
		j.doneTasks[r.task] = true
	case "failed":
		j.failedEnds[r.task]++
	}
}

func (j *judge) noted(e end) {
	switch e.how {
	case "done":
		s := j.w.subs[idOf(e.task)]
		st := s.Steps[stepOf(e.task)]
		if !st.LongRunning && !st.AllowDuplicates && j.lastStart[e.task].After(e.at) {
			j.broken("TWICE", "%s was started after run %d had ended done, which is noted now", e.task, e.run)
		}
		j.doneNoted[e.task] = !st.LongRunning
	case "failed":
		j.failed[e.task]++
	}
}

func (j *judge) stopOrdered(e *executor, o order) {
	j.w.record("stop %s run %d at %s", o.Task, o.Run, e.name)
}

// submitTries is the first try of a caller and its four retries.
const submitTries = 5

// submit hands a submission in as a caller does, with retries at other VMs.
func (w *world) submit(s *sub) bool {
	s.id = fmt.Sprintf("%016x", rand.Uint64())
	body, err := json.Marshal(s)
	if err != nil {
		w.fatal("%v", err)
	}
	w.mu.Lock()
	w.subs[s.id] = s
	const shown = 300
	w.record("hand in %s, %d bytes: %s", s.id, len(body), body[:min(len(body), shown)])
	w.mu.Unlock()
	s.body = string(body)
	first := rand.IntN(len(w.vms))
	refused := true
	for try := range submitTries {
		v := w.vms[(first+try)%len(w.vms)]
		status, _ := w.call(v, http.MethodPost, s.id, string(body))
		w.note("POST %s at %s: %d", s.id, v.name, status)
		refused = refused && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusNotFound)
		if status/100 == 2 {
			w.mu.Lock()
			s.accepted, s.acceptAt = true, time.Now()
			w.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.refused = refused
	return false
}

// again sends an accepted submission once more.
func (w *world) again(s *sub) {
	v := w.vms[rand.IntN(len(w.vms))]
	status, _ := w.call(v, http.MethodPost, s.id, s.body)
	w.note("POST again %s at %s: %d", s.id, v.name, status)
}

// state asks for the state of a submission, "" without an answer.
func (w *world) state(s *sub) string {
	v := w.vms[rand.IntN(len(w.vms))]
	status, body := w.call(v, http.MethodGet, s.id, "")
	state := ""
	switch status {
	case http.StatusOK:
		var answer struct {
			State string `json:"state"`
		}
		if json.Unmarshal([]byte(body), &answer) == nil {
			state = answer.State
		}
	case http.StatusGone:
		state = "410"
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if state != "" && state != s.lastState {
		w.record("GET %s at %s: %s", s.id, v.name, state)
		s.lastState = state
		w.judge.shown(s, state)
	}
	return state
}

// shown checks a state that a caller was given.
func (j *judge) shown(s *sub, state string) {
	switch state {
	case "410":
		if time.Since(s.acceptAt) > 3*time.Second {
			j.broken("LOST", "%s was accepted and is answered 410", s.id)
		}
	case "completed":
		for k := range max(1, s.MaxRuns) {
			for i, st := range s.Steps {
				for t := range st.Count {
					if task := fmt.Sprintf("%s.%d.%d.%d", s.id, k, i, t); !j.doneTasks[task] {
						j.broken("MIXED", "%s is shown as completed, and %s has not ended done", s.id, task)
						return
					}
				}
			}
		}
	case "failed":
		for task, n := range j.failedEnds {
			if idOf(task) == s.id && n >= attempts {
				return
			}
		}
		j.broken("LOST", "%s is shown as failed, and no task has %d ends failed", s.id, attempts)
	case "cancelled":
		if !s.cancelTry {
			j.broken("LOST", "%s is shown as cancelled, and nobody has cancelled it", s.id)
		}
	}
}

func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// follow asks for the state of a submission until it is final or a time has come.
func (w *world) follow(s *sub, until time.Time) string {
	state := ""
	for time.Now().Before(until) {
		if state = w.state(s); isFinal(state) {
			return state
		}
		time.Sleep(300 * time.Millisecond)
	}
	return state
}

// cancel cancels a submission.
func (w *world) cancel(s *sub) {
	w.mu.Lock()
	s.cancelTry = true
	w.mu.Unlock()
	for range 8 {
		v := w.vms[rand.IntN(len(w.vms))]
		status, _ := w.call(v, http.MethodDelete, s.id, "")
		w.note("DELETE %s at %s: %d", s.id, v.name, status)
		if status/100 == 2 || status == http.StatusGone {
			w.mu.Lock()
			s.cancelled = time.Now()
			w.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
