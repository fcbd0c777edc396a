package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peridotlock/peridotlock/fleet"
)

const (
	maxLatency    = time.Minute
	latencyDigits = 3  // significant digits
	maxListed     = 10 // violations, and distinct details, that a summary lists
)

// result is the outcome of one request.
type result struct {
	id      string
	class   fleet.RequestClass
	outcome Outcome
	detail  string
	begin   time.Time
	took    time.Duration
}

// Summary counts the outcomes of requests. Latencies are those of answered
// requests other than watches.
type Summary struct {
	Requests        int             `json:"requests"` // other than watches
	Outcomes        map[Outcome]int `json:"outcomes"` // outcomes of Requests
	Watches         int             `json:"watches"`
	WatchesAnswered int             `json:"watches_answered"` // got an event, and only their own events
	Lost            int             `json:"lost"`             // no answer in time
	Doubled         int             `json:"doubled"`          // non-idempotent and executed more than once
	Misreported     int             `json:"misreported"`      // wrong answer, or one that contradicts the ledger
	P50             time.Duration   `json:"p50_ns"`
	P99             time.Duration   `json:"p99_ns"`
	P999            time.Duration   `json:"p999_ns"`
	Worst           time.Duration   `json:"worst_ns"`
	Violations      []string        `json:"faults"`  // descriptions of the first violations
	Details         map[string]int  `json:"details"` // requests by outcome detail, counted until maxListed are known
}

// IsCorrect reports whether no request was lost, doubled or misreported.
func (s Summary) IsCorrect() bool { return s.Lost == 0 && s.Doubled == 0 && s.Misreported == 0 }

// resultLog keeps the results of all requests.
type resultLog struct {
	mu      sync.Mutex // protects results
	results []result
}

func (l *resultLog) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

func (l *resultLog) summary(from, to time.Time, executions map[string]int) Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Summary{Outcomes: make(map[Outcome]int), Details: make(map[string]int), Violations: []string{}}
	latency := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	for _, r := range l.results {
		if r.begin.Before(from) || r.begin.After(to) {
			continue
		}
		s.add(r, executions[r.id])
		if r.class != fleet.Watch && r.outcome == Answered {
			// RecordValue fails only above maxLatency, which the deadline excludes.
			_ = latency.RecordValue(r.took.Microseconds())
		}
	}
	s.P50 = quantile(latency, 50)
	s.P99 = quantile(latency, 99)
	s.P999 = quantile(latency, 99.9)
	s.Worst = time.Duration(latency.Max()) * time.Microsecond
	return s
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func (s *Summary) add(r result, executions int) {
	s.count(r)
	if r.detail != "" && len(s.Details) < maxListed {
		s.Details[r.detail]++
	}
	if r.outcome == Lost && r.class != fleet.Watch {
		s.Lost++
		s.addViolation(r, "lost")
	}
	if r.class == fleet.NonIdempotent && executions > 1 {
		s.Doubled++
		s.addViolation(r, "executed more than once")
	}
	if description := contradiction(r, executions); description != "" {
		s.Misreported++
		s.addViolation(r, description)
	}
}

func (s *Summary) count(r result) {
	if r.class != fleet.Watch {
		s.Requests++
		s.Outcomes[r.outcome]++
		return
	}
	s.Watches++
	if r.outcome == Answered {
		s.WatchesAnswered++
	}
}

// contradiction compares the outcome that the caller saw with the ledger. It returns
// a description of the contradiction, or "" if there is none.
func contradiction(r result, executions int) string {
	switch {
	case r.outcome == WrongAnswer:
		return "answer does not belong to the request"
	case (r.outcome == NotRun || r.outcome == NotSent) && executions > 0:
		return "reported as not run, but executed"
	case r.outcome == Answered && r.class != fleet.Watch && executions == 0:
		return "answered, but not executed"
	}
	return ""
}

func (s *Summary) addViolation(r result, description string) {
	if len(s.Violations) < maxListed {
		s.Violations = append(s.Violations, r.id+" ("+string(r.class)+"): "+description+": "+r.detail)
	}
}
