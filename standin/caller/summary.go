package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peridotlock/peridotlock/fleet"
)

const (
	maxLatency = time.Minute
	figures    = 3  // significant ones of a latency
	maxFaults  = 10 // faults and details kept in words
)

// result is what became of one request.
type result struct {
	id      string
	class   fleet.RequestClass
	outcome Outcome
	detail  string
	begin   time.Time
	took    time.Duration
}

// Summary counts the outcomes of requests. Watches have no latency.
type Summary struct {
	Requests        int             `json:"requests"` // without watches
	Outcomes        map[Outcome]int `json:"outcomes"` // of those
	Watches         int             `json:"watches"`
	WatchesAnswered int             `json:"watches_answered"` // told an event of their own
	Lost            int             `json:"lost"`             // never answered
	Doubled         int             `json:"doubled"`          // non-idempotent, executed more than once
	Misreported     int             `json:"misreported"`      // answered wrongly, or not as the ledger says
	P50             time.Duration   `json:"p50_ns"`
	P99             time.Duration   `json:"p99_ns"`
	P999            time.Duration   `json:"p999_ns"`
	Worst           time.Duration   `json:"worst_ns"`
	Violations      []string        `json:"faults"` // the first ones, in words
	Details         map[string]int  `json:"details"`
}

// IsCorrect reports whether nothing was lost, doubled or misreported.
func (s Summary) IsCorrect() bool { return s.Lost == 0 && s.Doubled == 0 && s.Misreported == 0 }

// log keeps the results of all requests.
type log struct {
	mu      sync.Mutex // protects results
	results []result
}

func (l *log) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

func (l *log) summary(from, to time.Time, executions map[string]int) Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Summary{Outcomes: make(map[Outcome]int), Details: make(map[string]int), Violations: []string{}}
	latency := hdrhistogram.New(1, maxLatency.Microseconds(), figures)
	for _, r := range l.results {
		if r.begin.Before(from) || r.begin.After(to) {
			continue
		}
		s.add(r, executions[r.id])
		if r.class != fleet.Watch && r.outcome == Answered {
			// A latency beyond the range can't come up within the deadline.
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
	if r.detail != "" && len(s.Details) < maxFaults {
		s.Details[r.detail]++
	}
	if r.outcome == Lost && r.class != fleet.Watch {
		s.Lost++
		s.fault(r, "lost")
	}
	if r.class == fleet.NonIdempotent && executions > 1 {
		s.Doubled++
		s.fault(r, "executed more than once")
	}
	if fault := misreport(r, executions); fault != "" {
		s.Misreported++
		s.fault(r, fault)
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

// misreport holds what the caller was told against what the ledger says.
func misreport(r result, executions int) string {
	switch {
	case r.outcome == WrongAnswer:
		return "answer is not its own"
	case (r.outcome == NotRun || r.outcome == NotSent) && executions > 0:
		return "said to be not run, but was executed"
	case r.outcome == Answered && r.class != fleet.Watch && executions == 0:
		return "answered, but never executed"
	}
	return ""
}

func (s *Summary) fault(r result, words string) {
	if len(s.Violations) < maxFaults {
		s.Violations = append(s.Violations, r.id+" ("+string(r.class)+"): "+words+": "+r.detail)
	}
}
