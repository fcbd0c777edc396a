// Package pool keeps the connections to one endpoint and makes exchanges over
// them. It uses the request and response codec of net/http on connections of
// its own, not http.Transport: a pool here tells whether a byte of a request
// was written, never sends a request twice, and hands no connection on that
// holds bytes of an earlier answer.
package pool

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	connectTimeout = 300 * time.Millisecond
	idleTimeout    = 30 * time.Second
)

var errConnectionLimit = errors.New("as many connections as allowed are open")

// Pool holds the connections to one endpoint. Its lock is taken by the
// requests to this endpoint only.
type Pool struct {
	addr    string
	max     atomic.Int32
	open    atomic.Int32
	probing atomic.Bool

	mu         sync.Mutex // protects idle, generation
	idle       []*conn    // last used last
	generation uint64
}

// New returns an empty pool of at most max connections to addr.
func New(addr string, max int) *Pool {
	p := &Pool{addr: addr}
	p.SetMax(max)
	return p
}

// SetMax changes the number of connections allowed.
func (p *Pool) SetMax(max int) { p.max.Store(int32(max)) }

// OpenConnections returns the number of open connections.
func (p *Pool) OpenConnections() int { return int(p.open.Load()) }

// get returns a quiet idle connection or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			return p.connect(ctx)
		}
		if time.Since(c.idleSince) < idleTimeout && c.state() == stateIdle {
			return c, nil
		}
		p.discard(c)
	}
}

func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// connect returns a new connection. When as many as allowed are open, an idle
// one makes room.
func (p *Pool) connect(ctx context.Context) (*conn, error) {
	if p.open.Load() >= p.max.Load() {
		if c := p.takeIdle(); c != nil {
			p.discard(c)
		}
	}
	if p.open.Add(1) > p.max.Load() {
		p.open.Add(-1)
		return nil, &Error{Fault: FaultFull, Err: errConnectionLimit}
	}
	p.mu.Lock()
	generation := p.generation
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: connectTimeout}
	c, err := dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.open.Add(-1)
		if ctx.Err() != nil {
			return nil, &Error{Fault: FaultCanceled, Err: err}
		}
		return nil, &Error{Fault: FaultConnect, Err: err}
	}
	return newConn(c, generation), nil
}

// put makes c available again unless its generation was retired. Of the
// connections that idled too long it closes one.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	unused := c
	p.mu.Lock()
	if c.generation == p.generation {
		p.idle = append(p.idle, c)
		unused = p.takeStale(c.idleSince)
	}
	p.mu.Unlock()
	if unused != nil {
		p.discard(unused)
	}
}

// takeStale removes the connection that idled longest if that was too long.
// The caller holds the lock.
func (p *Pool) takeStale(now time.Time) *conn {
	oldest := p.idle[0]
	if now.Sub(oldest.idleSince) < idleTimeout {
		return nil
	}
	p.idle = slices.Delete(p.idle, 0, 1)
	return oldest
}

func (p *Pool) isRetired(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.generation != p.generation
}

func (p *Pool) discard(c *conn) {
	c.Close()
	p.open.Add(-1)
}

// Retire closes the idle connections; those in use are closed when their
// exchange ends.
func (p *Pool) Retire() {
	p.mu.Lock()
	p.generation++
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// Probe makes a fresh connection. When that works, the endpoint is reachable
// and the older connections are retired. Only one probe runs at a time; done
// is called with the result of this one.
func (p *Pool) Probe(done func(error)) {
	if !p.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.probing.Store(false)
		done(p.probe())
	}()
}

func (p *Pool) probe() error {
	dialer := net.Dialer{Timeout: connectTimeout}
	c, err := dialer.Dial("tcp", p.addr)
	if err != nil {
		return &Error{Fault: FaultConnect, Err: err}
	}
	p.Retire()
	if p.open.Add(1) > p.max.Load() {
		p.open.Add(-1)
		c.Close()
		return nil
	}
	p.mu.Lock()
	generation := p.generation
	p.mu.Unlock()
	p.put(newConn(c, generation))
	return nil
}
