package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/standin/fault"
	"github.com/peridotlock/peridotlock/standin/ledger"
)

const (
	tickEvery    = 50 * time.Millisecond
	sampleEvery  = 250 * time.Millisecond
	maxBodyBytes = 1 << 20
)

// Options describe one worker.
type Options struct {
	VM            string
	FailureDomain fleet.Path
	Size          fleet.Resources
	Pace          Pace
	UsageLag      time.Duration
	ClockBase     time.Duration // what its clock says at the start
}

// Server serves one worker over HTTP.
type Server struct {
	opts    Options
	faults  *fault.Board
	ledger  *ledger.Ledger
	started time.Time

	mu      sync.Mutex // protects the rest
	machine *Machine
	runs    map[platform.AttemptRef]*ledger.Run
	samples []sample // oldest first
	told    told
}

// sample is a measurement and its time.
type sample struct {
	at    time.Duration
	usage []platform.Usage
}

// New returns a worker without tasks.
func New(o Options, b *fault.Board, l *ledger.Ledger) *Server {
	s := &Server{opts: o, faults: b, ledger: l, started: time.Now(), runs: make(map[platform.AttemptRef]*ledger.Run)}
	s.machine = NewMachine(o.VM, o.Size, o.Pace, s)
	l.AddVM(o.VM, o.Size)
	return s
}

// Run advances the tasks until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		_, _, changed := s.faults.Get(s.opts.VM)
		s.tick()
		select {
		case <-ticker.C:
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Handler returns the worker's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/start", handle(s, func(now time.Duration, r platform.StartRequest) (any, *platform.RefusedError) {
		return answer(s.machine.Start(now, r))
	}))
	mux.HandleFunc("POST /v1/renew", handle(s, func(now time.Duration, r platform.RenewRequest) (any, *platform.RefusedError) {
		if refused := s.machine.Renew(now, r); refused != nil {
			return nil, refused
		}
		return s.reportSince(now, r.Since), nil
	}))
	mux.HandleFunc("POST /v1/checkpoint", handle(s, func(now time.Duration, r platform.ControlRequest) (any, *platform.RefusedError) {
		return answer(s.machine.Checkpoint(now, r))
	}))
	mux.HandleFunc("POST /v1/throttle", handle(s, func(now time.Duration, r platform.ControlRequest) (any, *platform.RefusedError) {
		return answer(s.machine.Throttle(now, r))
	}))
	mux.HandleFunc("POST /v1/stop", handle(s, func(now time.Duration, r platform.ControlRequest) (any, *platform.RefusedError) {
		return answer(s.machine.Stop(now, r))
	}))
	mux.HandleFunc("GET /v1/report", s.serveReport)
	return mux
}

// handle decodes a request, executes it by the worker's clock and answers.
func handle[R any](s *Server, execute func(time.Duration, R) (any, *platform.RefusedError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body R
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body)
		if err != nil {
			write(w, http.StatusConflict, &platform.RefusedError{Reason: platform.RefusedBadRequest, Detail: err.Error()})
			return
		}
		s.mu.Lock()
		out, refused := execute(s.clock(), body)
		s.mu.Unlock()
		if refused != nil {
			write(w, http.StatusConflict, refused)
			return
		}
		write(w, http.StatusOK, out)
	}
}

func answer(status platform.AttemptStatus, refused *platform.RefusedError) (any, *platform.RefusedError) {
	return status, refused
}

func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	r := s.report(s.clock())
	s.mu.Unlock()
	write(w, http.StatusOK, r)
}

func (s *Server) report(now time.Duration) platform.Report {
	r := s.machine.Report(now)
	r.Usage = s.usage(now)
	return r
}

// reportSince returns what changed after the version, with the measurements
// that the owner was not told yet.
func (s *Server) reportSince(now time.Duration, since platform.Version) platform.Report {
	r := s.machine.ReportSince(now, since)
	r.Usage = s.usage(now)
	if r.Since == 0 {
		s.told = told{}
	}
	r.Usage = s.told.fresh(now, r.Usage)
	return r
}

// usage returns the newest measurements that are old enough to be known.
func (s *Server) usage(now time.Duration) []platform.Usage {
	var out []platform.Usage
	for _, old := range s.samples {
		age := now - old.at
		if age < s.opts.UsageLag {
			break
		}
		out = append([]platform.Usage{}, old.usage...)
		for i := range out {
			out[i].Age = age
		}
	}
	return out
}

func (s *Server) tick() {
	f, _, _ := s.faults.Get(s.opts.VM)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.machine.SetFault(f.FailTasks, f.RunTimeFactor)
	if f.Dead {
		s.machine.Kill(now)
		return
	}
	if f.Frozen {
		s.machine.Skip(now)
		return
	}
	s.machine.Advance(now)
	s.measure(now)
}

func (s *Server) measure(now time.Duration) {
	if n := len(s.samples); n > 0 && now-s.samples[n-1].at < sampleEvery {
		return
	}
	s.samples = append(s.samples, sample{at: now, usage: s.machine.usage()})
	for len(s.samples) > 1 && now-s.samples[1].at >= s.opts.UsageLag {
		s.samples = s.samples[1:]
	}
}

// clock returns the worker's monotonic clock.
func (s *Server) clock() time.Duration { return s.opts.ClockBase + time.Since(s.started) }

// wall returns the wall time of a time of the worker's clock.
func (s *Server) wall(at time.Duration) time.Time { return s.started.Add(at - s.opts.ClockBase) }

// Started implements Observer.
func (s *Server) Started(r platform.StartRequest, now, until time.Duration) {
	ref := platform.AttemptRef{Task: r.Task, Attempt: r.Token.Attempt}
	s.runs[ref] = s.ledger.StartRun(ledger.Run{
		Task: r.Task, Attempt: r.Token.Attempt, Kind: r.Kind, Class: r.Class, Size: r.Size, Checkpoint: r.Checkpoint,
		VM: s.opts.VM, FailureDomain: s.opts.FailureDomain,
		Start: s.wall(now), LeaseEnd: s.wall(until),
	})
}

// Renewed implements Observer.
func (s *Server) Renewed(ref platform.AttemptRef, until time.Duration) {
	s.ledger.RenewRun(s.runs[ref], s.wall(until))
}

// Ended implements Observer.
func (s *Server) Ended(status platform.AttemptStatus, at time.Duration) {
	ref := platform.AttemptRef{Task: status.Task, Attempt: status.Token.Attempt}
	finished := status.State == platform.AttemptFinished
	s.ledger.EndRun(s.runs[ref], s.wall(at), string(status.State), status.Progress, finished)
	delete(s.runs, ref)
}

// Lost implements Observer.
func (s *Server) Lost(ref platform.AttemptRef) { s.ledger.LoseEnd(ref.Task, ref.Attempt) }

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the connection is gone, so nobody can be told.
	_ = json.NewEncoder(w).Encode(body)
}
