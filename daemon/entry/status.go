package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	core "github.com/peridotlock/peridotlock/entry"
)

// readiness answers the operators and the platform's balancer.
type readiness struct {
	entry    *core.Entry
	draining atomic.Bool
	failure  atomic.Pointer[string] // of the newest failed poll for a snapshot
}

func (s *readiness) fail(err error) {
	text := err.Error()
	s.failure.Store(&text)
}

func (s *readiness) drain() { s.draining.Store(true) }

// reason tells why the entry is not ready, or "".
func (s *readiness) reason() string {
	if s.draining.Load() {
		return "draining"
	}
	if s.entry.IsReady() {
		return ""
	}
	if text := s.failure.Load(); text != nil {
		return "no snapshot yet: " + *text
	}
	return "no snapshot yet"
}

func (s *readiness) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", s.metrics)
	return mux
}

func (s *readiness) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := s.reason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (s *readiness) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.entry.Metrics().Write(w)
	metrics.WriteProcessMetrics(w)
}
