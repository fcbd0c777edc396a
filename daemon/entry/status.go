package entry

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"

	core "github.com/peridotlock/peridotlock/entry"
	"github.com/peridotlock/peridotlock/telemetry"
)

var (
	errDraining   = errors.New("draining")
	errNoSnapshot = errors.New("no snapshot yet")
)

// readiness answers the operators and the platform's balancer.
type readiness struct {
	entry    *core.Entry
	draining atomic.Bool
	failure  atomic.Pointer[error] // of the newest failed poll for a snapshot
}

func (s *readiness) fail(err error) {
	s.failure.Store(&err)
}

func (s *readiness) drain() { s.draining.Store(true) }

// ready returns nil or why the entry is not ready.
func (s *readiness) ready() error {
	if s.draining.Load() {
		return errDraining
	}
	if s.entry.IsReady() {
		return nil
	}
	if err := s.failure.Load(); err != nil {
		return fmt.Errorf("no snapshot yet: %w", *err)
	}
	return errNoSnapshot
}

func (s *readiness) handler() http.Handler {
	return telemetry.NewOperatorsMux(s.entry.Metrics().Set(), s.ready)
}
