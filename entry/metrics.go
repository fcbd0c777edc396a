package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlock/peridotlock/entry/answer"
	"github.com/peridotlock/peridotlock/fleet"
)

// latencyBounds are the upper bounds of the latency buckets.
var latencyBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// problemCodes lists the codes of all problems.
var problemCodes = [...]string{
	"http-version", "method", "path", "framing", "not-ready", "no-route", "header-size", "deadline", "body-late",
	"body", "body-size", "memory", "no-endpoint", "unreachable", "overloaded", "canceled", "draining", "watch-limit", "answer",
}

const answered = "answered" // outcome of a request whose response was delivered completely

// Metrics holds the metrics of an entry. Its counters take no lock. Latencies are
// counted in buckets because the library's histograms take a lock.
type Metrics struct {
	set       *metrics.Set
	requests  map[fleet.RequestClass]map[string]*metrics.Counter
	latency   map[fleet.RequestClass][]*metrics.Counter
	Retries   *metrics.Counter // attempts after a failed attempt
	Hedges    *metrics.Counter // attempts concurrent with a slow attempt
	Ejections *metrics.Counter // of endpoints
	Renewals  *metrics.Counter // of connection pools after a response timed out
	LinkBytes *metrics.Counter // on the link between regions
	Aborted   *metrics.Counter // responses aborted before their end
	Denied    *metrics.Counter // retries and hedges denied by the retry budget
	problems  map[string]*metrics.Counter
}

func newMetrics() *Metrics {
	set := metrics.NewSet()
	m := &Metrics{
		set:       set,
		requests:  make(map[fleet.RequestClass]map[string]*metrics.Counter),
		latency:   make(map[fleet.RequestClass][]*metrics.Counter),
		Retries:   set.NewCounter(`peridotlock_entry_retries_total`),
		Hedges:    set.NewCounter(`peridotlock_entry_hedges_total`),
		Ejections: set.NewCounter(`peridotlock_entry_ejections_total`),
		Renewals:  set.NewCounter(`peridotlock_entry_pool_renewals_total`),
		LinkBytes: set.NewCounter(`peridotlock_entry_link_bytes_total`),
		Aborted:   set.NewCounter(`peridotlock_entry_aborted_answers_total`),
		Denied:    set.NewCounter(`peridotlock_entry_retries_denied_total`),
		problems:  make(map[string]*metrics.Counter),
	}
	for _, code := range problemCodes {
		m.problems[code] = set.NewCounter(fmt.Sprintf(`peridotlock_entry_problems_total{code=%q}`, code))
	}
	for _, class := range []fleet.RequestClass{"", fleet.Idempotent, fleet.NonIdempotent, fleet.Watch} {
		m.addClass(class)
	}
	return m
}

func (m *Metrics) addClass(class fleet.RequestClass) {
	m.requests[class] = make(map[string]*metrics.Counter)
	for _, outcome := range []string{answered, string(answer.NotRun), string(answer.Unknown), string(answer.Failed)} {
		name := fmt.Sprintf(`peridotlock_entry_requests_total{class=%q,outcome=%q}`, class, outcome)
		m.requests[class][outcome] = m.set.NewCounter(name)
	}
	for _, bound := range latencyBounds {
		name := fmt.Sprintf(`peridotlock_entry_request_seconds_bucket{class=%q,le="%g"}`, class, bound.Seconds())
		m.latency[class] = append(m.latency[class], m.set.NewCounter(name))
	}
}

// observe counts a finished request, and its duration d unless it is a watch.
func (m *Metrics) observe(class fleet.RequestClass, outcome string, d time.Duration) {
	m.requests[class][outcome].Inc()
	if class == fleet.Watch {
		return
	}
	for i := len(latencyBounds) - 1; i >= 0 && d <= latencyBounds[i]; i-- {
		m.latency[class][i].Inc()
	}
}

// problem counts a problem by its code.
func (m *Metrics) problem(code string) {
	if counter := m.problems[code]; counter != nil {
		counter.Inc()
	}
}

// Set returns all metrics, to be served at the operators' address.
func (m *Metrics) Set() *metrics.Set { return m.set }
