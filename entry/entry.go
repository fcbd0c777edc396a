// Package entry serves callers: it routes each request to an endpoint and
// brings the whole answer back. A request reads one immutable snapshot behind
// an atomic pointer and takes no lock that all requests share.
package entry

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"

	"github.com/peridotlock/peridotlock/entry/admit"
	"github.com/peridotlock/peridotlock/entry/balance"
	"github.com/peridotlock/peridotlock/entry/retry"
	"github.com/peridotlock/peridotlock/entry/route"
	"github.com/peridotlock/peridotlock/entry/source"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/settings"
)

// Options are the fixed properties of an entry.
type Options struct {
	Name          string // VM's name
	FailureDomain fleet.Path
	Log           logr.Logger
	Tracer        trace.Tracer
}

// Entry is the path of a request. It implements http.Handler.
type Entry struct {
	options    Options
	metrics    *Metrics
	budgets    *retry.Budgets
	link       balance.Link
	current    atomic.Pointer[snapshot]
	watches    atomic.Int64
	bodyBytes  atomic.Int64  // bytes of request bodies held
	draining   atomic.Bool   // answers close their connections
	endWatches chan struct{} // closed when watches have to end

	mu       sync.Mutex // protects registry, services; taken by Apply only
	registry *balance.Registry
	services map[fleet.Path]*service
}

// snapshot is what a request reads: a snapshot made ready for use.
type snapshot struct {
	view     *settings.View
	routes   *route.Table
	services []*service
	policies []settings.RequestPolicy // of services
}

// service is what the entry learns about a service. It outlives snapshots.
type service struct {
	path          string
	set           *balance.Set
	queue         *admit.Queue
	idempotent    balance.Latency // of idempotent requests
	nonIdempotent balance.Latency // of non-idempotent requests
	meanBytes     atomic.Uint64   // mean bytes of a request and its answer; float bits
}

// New returns an entry without a snapshot, which refuses all requests.
func New(o Options) *Entry {
	e := &Entry{
		options:    o,
		metrics:    newMetrics(),
		budgets:    retry.NewBudgets(),
		endWatches: make(chan struct{}),
		registry:   balance.NewRegistry(o.Name, o.FailureDomain),
		services:   make(map[fleet.Path]*service),
	}
	e.addGauges()
	return e
}

// Apply puts a snapshot in force. Endpoints that are leaving, or whose failure
// domain is out, get no new requests from then on.
func (e *Entry) Apply(s source.Snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := &snapshot{view: s.View, routes: route.NewTable(s.View.Services)}
	sets := make([]*balance.Set, 0, len(s.View.Services))
	for _, declared := range s.View.Services {
		known := e.service(declared.Path)
		next.services = append(next.services, known)
		next.policies = append(next.policies, s.View.PolicyAt(declared.Path).Requests)
		sets = append(sets, known.set)
	}
	e.registry.Update(s.View, s.VMs, sets)
	e.current.Store(next)
	for _, known := range next.services {
		known.queue.Dispatch()
	}
}

func (e *Entry) service(path fleet.Path) *service {
	s, ok := e.services[path]
	if !ok {
		set := balance.NewSet(path)
		s = &service{path: string(path), set: set, queue: admit.NewQueue(set)}
		e.services[path] = s
	}
	return s
}

// IsReady reports whether a snapshot is in force.
func (e *Entry) IsReady() bool { return e.current.Load() != nil }

// StartDraining makes responses close their connections and refuses new watches. Requests
// are still served.
func (e *Entry) StartDraining() { e.draining.Store(true) }

// EndWatches tells watches to come back elsewhere. Call it once.
func (e *Entry) EndWatches() { close(e.endWatches) }

// Close closes the idle connections to all endpoints. Requests in flight go on.
func (e *Entry) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.registry.Close()
}

// Metrics returns the entry's metrics.
func (e *Entry) Metrics() *Metrics { return e.metrics }

// LinkBytes returns the bytes sent and received across the link between
// regions.
func (e *Entry) LinkBytes() int64 { return e.link.Bytes() }

// latency returns what was learned of requests of a class.
func (s *service) latency(class fleet.RequestClass) *balance.Latency {
	if class == fleet.NonIdempotent {
		return &s.nonIdempotent
	}
	return &s.idempotent
}

const (
	bytesSampleWeight = 0.1  // of a new sample in the mean
	initialMeanBytes  = 2048 // assumed before the first answer
)

// expectedBytes returns the mean bytes of a request and its answer.
func (s *service) expectedBytes() int64 {
	if b := math.Float64frombits(s.meanBytes.Load()); b > 0 {
		return int64(b)
	}
	return initialMeanBytes
}

func (s *service) observeBytes(n int64) {
	old := float64(s.expectedBytes())
	s.meanBytes.Store(math.Float64bits(old + bytesSampleWeight*(float64(n)-old)))
}
