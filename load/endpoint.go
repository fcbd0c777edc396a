package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotlock/peridotlock/entry"
)

// Headers and values of the built-in endpoint.
const (
	SizeHeader     = "Load-Answer-Bytes" // size of the answer
	DurationHeader = "Load-Took-Ns"      // time from the request's arrival to the answer
	WatchPath      = "/watch"            // streams ticks without an end
	EchoPath       = "/lookups/echo"     // answers with the header of the request
	readTimeout    = 30 * time.Second
	watchTick      = 20 * time.Millisecond
)

// EndpointOptions are the fixed properties of an endpoint.
type EndpointOptions struct {
	Slots        int           // requests that run at once; others wait
	Connections  int           // open connections; others are closed at once
	ServiceTime  time.Duration // of a request that runs alone
	LoadGrowth   float64       // added part of the service time with all slots busy
	NetworkDelay time.Duration // added to each answer outside the slots
	Ledger       *Ledger
	Fault        func(id string, run int) Fault // nil for none
}

// Endpoint is a small executor with slots and a service time that grows with
// load.
type Endpoint struct {
	options EndpointOptions
	addr    string
	slots   chan struct{}
	noise   atomic.Int64 // factor of the service time in thousandths
	leaving atomic.Bool
	running atomic.Int64
	peak    atomic.Int64 // most open connections
	asked   atomic.Int64
	served  atomic.Int64

	current atomic.Pointer[session]
}

// session is the time between a start and a stop.
type session struct {
	listener *silentListener
	server   *http.Server
	done     chan struct{}
	once     sync.Once
}

// NewEndpoint starts an endpoint on loopback.
func NewEndpoint(o EndpointOptions) (*Endpoint, error) {
	e := &Endpoint{options: o, addr: "127.0.0.1:0", slots: make(chan struct{}, o.Slots)}
	e.noise.Store(1000)
	return e, e.Start()
}

// Start listens, again at the same address after a Stop.
func (e *Endpoint) Start() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return fmt.Errorf("start endpoint: %w", err)
	}
	e.addr = l.Addr().String()
	s := &session{listener: newSilentListener(l), done: make(chan struct{})}
	s.server = &http.Server{Handler: e, ReadTimeout: readTimeout, ConnState: e.connState}
	e.current.Store(s)
	go s.server.Serve(s.listener)
	return nil
}

// Stop closes the listener and all connections at once.
func (e *Endpoint) Stop() {
	s := e.current.Load()
	s.once.Do(func() {
		close(s.done)
		s.server.Close()
		s.listener.closeAll()
	})
}

// Addr returns the endpoint's address.
func (e *Endpoint) Addr() string { return e.addr }

// Received returns the requests that reached the endpoint.
func (e *Endpoint) Received() int { return int(e.asked.Load()) }

// Served returns the requests that the endpoint ran.
func (e *Endpoint) Served() int { return int(e.served.Load()) }

// PeakConnections returns the most connections that were open at once.
func (e *Endpoint) PeakConnections() int { return int(e.peak.Load()) }

// SilenceConnections makes the open connections silent; new ones work.
func (e *Endpoint) SilenceConnections() { e.current.Load().listener.silence() }

// SetPartitioned makes open and new connections silent, or ends that for new ones.
func (e *Endpoint) SetPartitioned(on bool) {
	l := e.current.Load().listener
	l.newSilent.Store(on)
	if on {
		l.silence()
	}
}

// SetSlowdown multiplies the service time.
func (e *Endpoint) SetSlowdown(factor float64) { e.noise.Store(int64(factor * 1000)) }

// SetLeaving has the endpoint refuse new requests and close their connections.
func (e *Endpoint) SetLeaving(on bool) { e.leaving.Store(on) }

func (e *Endpoint) connState(c net.Conn, state http.ConnState) {
	if state != http.StateNew {
		return
	}
	n := int64(e.current.Load().listener.open())
	for peak := e.peak.Load(); n > peak && !e.peak.CompareAndSwap(peak, n); peak = e.peak.Load() {
	}
	if n > int64(e.options.Connections) {
		c.Close()
	}
}

// ServeHTTP runs one request.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case WatchPath:
		e.watch(w, r)
		return
	case EchoPath:
		r.Header.Write(w)
		return
	}
	start := time.Now()
	request, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.asked.Add(1)
	id := r.Header.Get(IDHeader)
	fault := e.faultOf(id)
	if !fault.Runs() {
		e.answerWrong(w, fault, nil, nil)
		return
	}
	e.run(r.Context(), id)
	e.pause(e.options.NetworkDelay)
	if fault == FaultDelay && !e.pause(lateness) {
		panic(http.ErrAbortHandler)
	}
	size, _ := strconv.Atoi(r.Header.Get(SizeHeader))
	body := Body(id, request, size)
	header := http.Header{IDHeader: {id}}
	if attempt := r.Header.Get(entry.AttemptHeader); attempt != "" {
		header.Set(entry.AttemptHeader, attempt)
	}
	if fault != FaultNone && fault != FaultDelay {
		e.answerWrong(w, fault, header, body)
		return
	}
	for name, values := range header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(DurationHeader, strconv.FormatInt(int64(time.Since(start)), 10))
	w.Write(body)
}

func (e *Endpoint) faultOf(id string) Fault {
	if e.leaving.Load() {
		return FaultLeaving
	}
	if e.options.Fault == nil {
		return FaultNone
	}
	return e.options.Fault(id, e.options.Ledger.Runs(id))
}

// run holds a slot for the service time. What has begun is finished even when
// the caller is gone.
func (e *Endpoint) run(ctx context.Context, id string) {
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-e.slots }()
	e.options.Ledger.Run(id)
	e.served.Add(1)
	busy := e.running.Add(1)
	defer e.running.Add(-1)
	share := float64(busy) / float64(e.options.Slots)
	took := float64(e.options.ServiceTime) * (1 + e.options.LoadGrowth*share) * float64(e.noise.Load()) / 1000
	e.pause(time.Duration(took))
}

func (e *Endpoint) watch(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	for i := 0; r.Context().Err() == nil; i++ {
		fmt.Fprintf(w, "tick %d\n", i)
		if control.Flush() != nil || !e.pause(watchTick) {
			panic(http.ErrAbortHandler)
		}
	}
}

// pause waits for d and reports whether the endpoint still serves.
func (e *Endpoint) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.current.Load().done:
		return false
	}
}
