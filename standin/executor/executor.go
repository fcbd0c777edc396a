// Package executor stands in for the endpoints: servers with a limited number of
// slots and a service time that grows with load.
package executor

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/peridotlock/peridotlock/standin/fault"
	"github.com/peridotlock/peridotlock/standin/ledger"
)

const (
	maxBodyBytes  = 16 << 20
	queuePerSlot  = 8 // waiting requests per slot; further requests get 503
	loadGrowth    = 1 // relative increase of the service time at full load
	watchInterval = 200 * time.Millisecond
	retryAfter    = "1" // seconds
)

// Options configures an Executor.
type Options struct {
	ID          string
	Slots       int
	ServiceTime time.Duration // of a request at zero load
}

// Executor serves requests and records each execution in the ledger.
type Executor struct {
	opts    Options
	faults  *fault.Registry
	ledger  *ledger.Ledger
	slots   chan struct{}
	waiting atomic.Int64
}

// New returns an executor that is subject to the faults of target o.ID.
func New(o Options, r *fault.Registry, l *ledger.Ledger) *Executor {
	return &Executor{opts: o, faults: r, ledger: l, slots: make(chan struct{}, o.Slots)}
}

// ServeHTTP implements http.Handler.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f, _, _ := e.faults.Get(e.opts.ID)
	if f.Leaving {
		w.Header().Set("Connection", "close")
		refuse(w, "leaving")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "read request body: "+err.Error(), http.StatusBadRequest)
		return
	}
	q := newQuery(r, body)
	if q.watch {
		e.serveWatch(w, r, q)
		return
	}
	if !e.acquire(r.Context()) {
		refuse(w, "queue is full")
		return
	}
	defer e.release()
	execution := e.ledger.StartExecution(q.id, q.execution(e.opts.ID))
	e.work(time.Duration(f.ServiceDelay)*time.Millisecond + q.delay)
	e.answer(w, q, execution)
}

// acquire waits for a slot. It returns false if the queue is full or ctx ends; the
// request is then not executed.
func (e *Executor) acquire(ctx context.Context) bool {
	defer e.waiting.Add(-1)
	if e.waiting.Add(1) > int64(queuePerSlot*e.opts.Slots) {
		return false
	}
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Executor) release() { <-e.slots }

// work sleeps for the service time at the current load. It ignores the context of
// the request: an execution always runs to its end.
func (e *Executor) work(extra time.Duration) {
	load := float64(len(e.slots)) / float64(cap(e.slots))
	d := time.Duration(float64(e.opts.ServiceTime) * (1 + loadGrowth*load))
	time.Sleep(d + extra)
}

func (e *Executor) answer(w http.ResponseWriter, q query, execution *ledger.Execution) {
	body := q.answer()
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("X-Executor", e.opts.ID)
	q.copyAttempt(w.Header())
	if e.faults.TakeTruncateResponse(e.opts.ID) {
		truncate(w, body)
	}
	if _, err := w.Write(body); err == nil {
		e.ledger.Answered(execution)
	}
}

// truncate sends the first half of the answer and closes the connection.
func truncate(w http.ResponseWriter, body []byte) {
	w.Write(body[:len(body)/2])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// serveWatch sends an event every watchInterval until the caller disconnects, the
// executor is leaving or the requested number of events was sent.
func (e *Executor) serveWatch(w http.ResponseWriter, r *http.Request, q query) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Executor", e.opts.ID)
	control := http.NewResponseController(w)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		if _, err := io.WriteString(w, q.event(n)); err != nil || control.Flush() != nil {
			return
		}
		if f, _, _ := e.faults.Get(e.opts.ID); f.Leaving || n == q.events {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}

// refuse responds with 503 and a body that states that the request was not
// executed.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, "not run: "+reason, http.StatusServiceUnavailable)
}
