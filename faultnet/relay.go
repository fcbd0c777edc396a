// Package faultnet relays TCP connections between two loopback ports and
// disturbs them, for tests of failures of the network.
package faultnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	chunkBytes  = 16 << 10
	queueChunks = 64 // chunks on their way in one direction
	dialTimeout = time.Second
)

// Direction is the way that bytes go.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	ToCaller
	directions
)

// Condition is the state of the network; the zero value is a sound one.
type Condition struct {
	Refuse         bool             // nothing listens; open connections go on
	Silent         [directions]bool // bytes are dropped, connections stay open
	Delay          time.Duration    // in each direction
	BytesPerSecond int              // in each direction, over all connections; 0 for no limit
}

// Relay relays connections made to its address to a target.
type Relay struct {
	target string
	addr   string
	ctx    context.Context
	stop   context.CancelFunc
	group  sync.WaitGroup

	mu        sync.Mutex // protects the rest
	listener  net.Listener
	condition Condition
	limits    [directions]*rate.Limiter
	links     map[*link]struct{}
}

// New returns a relay to target, "IP:port", on a free loopback port.
func New(target string) (*Relay, error) {
	r := &Relay{target: target, links: make(map[*link]struct{})}
	r.ctx, r.stop = context.WithCancel(context.Background())
	if err := r.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return r, nil
}

// Addr returns the address that callers connect to.
func (r *Relay) Addr() string { return r.addr }

// Set changes the condition. A connection that lost bytes stays silent in that
// direction for good, since what follows would make no sense without them.
func (r *Relay) Set(c Condition) error {
	r.mu.Lock()
	r.condition = c
	for i := range r.limits {
		r.limits[i] = newLimiter(c.BytesPerSecond)
	}
	closing := r.listener
	if c.Refuse {
		r.listener = nil
	}
	r.mu.Unlock()
	if c.Refuse && closing != nil {
		return closing.Close()
	}
	if !c.Refuse && closing == nil {
		return r.listen(r.addr)
	}
	return nil
}

// ResetConnections closes all open connections with a reset.
func (r *Relay) ResetConnections() {
	for _, l := range r.open() {
		l.reset()
	}
}

// SilenceConnections makes all open connections silent in both directions for good; new
// ones work.
func (r *Relay) SilenceConnections() {
	for _, l := range r.open() {
		for d := range l.silent {
			l.silent[d].Store(true)
		}
	}
}

// ConnectionCount returns how many connections are open.
func (r *Relay) ConnectionCount() int { return len(r.open()) }

// Close closes the port and all connections and waits for them to end.
func (r *Relay) Close() {
	r.stop()
	r.mu.Lock()
	if r.listener != nil {
		r.listener.Close()
	}
	r.mu.Unlock()
	r.ResetConnections()
	r.group.Wait()
}

func (r *Relay) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("open port of relay to %s: %w", r.target, err)
	}
	r.mu.Lock()
	r.listener = l
	r.addr = l.Addr().String()
	r.mu.Unlock()
	r.group.Go(func() { r.accept(l) })
	return nil
}

func (r *Relay) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.serve(conn.(*net.TCPConn)) })
	}
}

func (r *Relay) serve(caller *net.TCPConn) {
	defer caller.Close()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(r.ctx, "tcp", r.target)
	if err != nil {
		caller.SetLinger(0)
		return
	}
	l := &link{relay: r, ends: [directions]*net.TCPConn{ToTarget: conn.(*net.TCPConn), ToCaller: caller}}
	if !r.add(l) {
		l.reset()
		return
	}
	defer r.remove(l)
	l.run()
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.links[l] = struct{}{}
	return true
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

func (r *Relay) open() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*link, 0, len(r.links))
	for l := range r.links {
		out = append(out, l)
	}
	return out
}

func (r *Relay) now(d Direction) (Condition, *rate.Limiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.condition, r.limits[d]
}

func newLimiter(bytesPerSecond int) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes)
}
