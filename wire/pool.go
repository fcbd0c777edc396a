package wire

import (
	"sync"
	"time"
)

// idleLimit is how long a pool keeps a client that nobody calls, so that the
// addresses of replaced VMs do not add up.
const idleLimit = 10 * time.Minute

// Pool keeps one client per peer address.
type Pool struct {
	mu      sync.Mutex // protects all below
	clients map[string]*Client
	swept   time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{clients: make(map[string]*Client), swept: time.Now()} }

// Client returns the client of the peer at addr. Callers ask anew for each use,
// since the pool drops clients that were idle for long.
func (p *Pool) Client(addr string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(time.Now())
	c, ok := p.clients[addr]
	if !ok {
		c = NewClient(addr)
		p.clients[addr] = c
	}
	c.used.Store(time.Now().UnixNano())
	return c
}

// sweep closes clients that nobody has used for long; mu is held.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < idleLimit {
		return
	}
	p.swept = now
	for addr, c := range p.clients {
		if c.isIdle(now) {
			c.Close()
			delete(p.clients, addr)
		}
	}
}

// Len returns the number of clients held.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.clients)
}

// Close closes all clients.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}
