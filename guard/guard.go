// Package guard keeps the connections of clients that no one controls within the memory and
// descriptors of the process. A Guard accounts what the connections of one listener hold. If
// that is too much, it closes those that have waited longest for their client, or refuses
// requests before they are handled. See docs/design/untrusted-clients.md.
package guard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// ErrOverloaded is returned if there is no memory for a request. It has not been handled.
var ErrOverloaded = errors.New("no memory for the request")

const (
	// DefaultHeaderBytes is the limit of a header that applies while none is configured.
	DefaultHeaderBytes = 64 << 10
	// DefaultBodyBytes is the limit of a body that applies while none is configured.
	DefaultBodyBytes = 1 << 20
	// DefaultProgressWindow is the time in which progressBytes of a body must arrive.
	DefaultProgressWindow = 15 * time.Second

	progressBytes = 1 << 10
	// headerSlack is what net/http reads beyond a header at most.
	headerSlack = 4 << 10
	// lineBytes is the memory of a header line beside its text, when it is parsed.
	lineBytes = 256
	// writeTimeout is the time of one write to a client that does not read.
	writeTimeout = 10 * time.Second
	logInterval  = 10 * time.Second // per reason
)

// Options configures a Guard.
type Options struct {
	Name           string // of the listener, for logs and metrics
	Limits         Limits
	HeaderBytes    func() int    // limit of a header; nil for DefaultHeaderBytes
	BodyBytes      func() int    // limit of a body; nil for DefaultBodyBytes
	ProgressWindow time.Duration // 0 for DefaultProgressWindow; negative if the handler ends slow bodies itself
	Log            logr.Logger
	Metrics        *metrics.Set
}

// Guard limits the connections of one listener. It is safe for concurrent use.
type Guard struct {
	options Options

	mu       sync.Mutex // protects the fields below and all accounts
	ledger   ledger
	logged   map[string]time.Time // last log line of each reason
	listener net.Listener         // nil before Listen
	draining bool                 // Accept ends with its deadline
	heardAt  time.Time            // when a connection was last accepted, or read from
}

// New returns a Guard.
func New(o Options) *Guard {
	if o.HeaderBytes == nil {
		o.HeaderBytes = func() int { return DefaultHeaderBytes }
	}
	if o.BodyBytes == nil {
		o.BodyBytes = func() int { return DefaultBodyBytes }
	}
	if o.ProgressWindow == 0 {
		o.ProgressWindow = DefaultProgressWindow
	}
	g := &Guard{options: o, ledger: ledger{limits: o.Limits}, logged: map[string]time.Time{}}
	label := `{listener="` + o.Name + `"}`
	o.Metrics.NewGauge(`peridotlock_client_connections`+label, func() float64 { _, n := g.held(); return float64(n) })
	o.Metrics.NewGauge(`peridotlock_client_bytes`+label, func() float64 { n, _ := g.held(); return float64(n) })
	return g
}

func (g *Guard) held() (bytes int64, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.bytes, g.ledger.count
}

// Reasons for which a connection is closed or a request refused; label values of
// peridotlock_client_refusals_total.
const (
	tooManyConnections = "connections"
	memoryExhausted    = "memory"
	headerTooLarge     = "header-size"
	bodyTooLarge       = "body-size"
	noProgress         = "no-progress"
	// WorkTooLarge is the reason for requests that leave more work than there is memory for.
	WorkTooLarge = "work"
)

// CountRefusal counts a request that a handler has refused.
func (g *Guard) CountRefusal(reason string) { g.count(refused, reason, 1) }

// count counts and logs what was closed or refused.
func (g *Guard) count(action, reason string, n int) {
	if n == 0 {
		return
	}
	g.options.Metrics.GetOrCreateCounter(`peridotlock_client_refusals_total{listener="` + g.options.Name + `",action="` + action + `",reason="` + reason + `"}`).Add(n)
	g.mu.Lock()
	now := time.Now()
	due := now.Sub(g.logged[reason]) >= logInterval
	if due {
		g.logged[reason] = now
	}
	bytes, connections := g.ledger.bytes, g.ledger.count
	g.mu.Unlock()
	if due {
		g.options.Log.Info("clients exceed the limits", "listener", g.options.Name, "action", action, "reason", reason, "connections", connections, "max_connections", g.options.Limits.Connections,
			"bytes", bytes, "max_bytes", g.options.Limits.Bytes)
	}
}

// Actions on clients; label values of peridotlock_client_refusals_total.
const (
	closed  = "closed"
	refused = "refused"
)

// charge charges an account for n bytes of its request. It reports whether there is room.
func (g *Guard) charge(a *account, n int64) bool {
	g.mu.Lock()
	victims, ok := g.ledger.charge(a, n)
	g.mu.Unlock()
	g.closeAll(victims, memoryExhausted)
	return ok
}

func (g *Guard) closeAll(victims []*account, reason string) {
	for _, v := range victims {
		v.close()
	}
	g.count(closed, reason, len(victims))
}

func (g *Guard) setState(a *account, s state) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.setState(a, s)
}

// Listen listens on an address for connections that g limits.
func (g *Guard) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Accepted connections inherit the size. Without it they work, with more memory.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, g.options.Limits.ReceiveBuffer)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if raw, err := l.(*net.TCPListener).SyscallConn(); err == nil {
		// Package net asks for the system's largest backlog. A later call changes it.
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), g.options.Limits.Backlog) })
	}
	g.mu.Lock()
	g.listener = l
	g.mu.Unlock()
	return listener{l, g}, nil
}

// ListenForCalls listens for connections of any protocol. Those that have been silent longest
// give way to new ones.
func (g *Guard) ListenForCalls(address string) (net.Listener, error) {
	l, err := g.Listen(address)
	if err != nil {
		return nil, err
	}
	return callListener{l.(listener)}, nil
}

type callListener struct{ listener }

// Accept implements net.Listener.
func (l callListener) Accept() (net.Conn, error) {
	c, err := l.listener.Accept()
	if err != nil {
		return nil, err
	}
	return callConn{c.(*conn)}, nil
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l listener) Accept() (net.Conn, error) {
	for {
		g := l.guard
		inner, err := l.Listener.Accept()
		if err != nil {
			g.mu.Lock()
			draining := g.draining
			g.mu.Unlock()
			if draining { // net/http would accept again after a timeout
				err = net.ErrClosed
			}
			return nil, err
		}
		g.mu.Lock()
		g.heardAt = time.Now()
		a, victims := g.ledger.add(func() { inner.Close() })
		g.mu.Unlock()
		g.closeAll(victims, tooManyConnections)
		if a != nil {
			return &conn{Conn: inner, guard: g, account: a}, nil
		}
		inner.Close()
		g.count(refused, tooManyConnections, 1)
	}
}

// Configure prepares a server for a listener of g. The server's handler, ConnContext and
// ConnState must have been set.
func (g *Guard) Configure(s *http.Server) {
	s.MaxHeaderBytes = DefaultHeaderBytes
	s.Handler = g.handler(s.Handler)
	connContext, connState := s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		if own := unwrap(c); own != nil {
			ctx = context.WithValue(ctx, contextKey{}, own)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own := unwrap(c); own != nil && state == http.StateIdle {
			own.becomeIdle()
		}
		if connState != nil {
			connState(c, state)
		}
	}
}
