package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxInFlight = 256             // calls per peer
	dialTimeout = 2 * time.Second // per connection
)

// ErrNotSent says that the call certainly did not reach the peer.
var ErrNotSent = errors.New("call not sent")

// ErrBusy says that too many calls to the peer are in flight; it wraps
// ErrNotSent.
var ErrBusy = fmt.Errorf("%w: too many calls in flight", ErrNotSent)

// ErrUnanswered says that the peer may or may not have executed the call.
var ErrUnanswered = errors.New("call not answered")

// Client calls one peer. It connects on first use. A call that passes its
// deadline retires the connection, since a silent connection tells nothing of
// its peer.
type Client struct {
	addr     string
	inFlight atomic.Int64

	mu     sync.Mutex // protects client
	client *rpc.Client
}

// NewClient returns a client of the peer at addr, "IP:port".
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Call executes method at the peer. An error wraps ErrNotSent, wraps
// ErrUnanswered, or is an rpc.ServerError with the peer's words.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	if c.inFlight.Add(1) > maxInFlight {
		c.inFlight.Add(-1)
		return ErrBusy
	}
	defer c.inFlight.Add(-1)
	client, err := c.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: connect %s: %w", ErrNotSent, c.addr, err)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		c.retire(client)
		return fmt.Errorf("%w: %s to %s: %w", ErrUnanswered, method, c.addr, ctx.Err())
	}
	var served rpc.ServerError
	if call.Error == nil || errors.As(call.Error, &served) {
		return call.Error
	}
	c.retire(client)
	return fmt.Errorf("%w: %s to %s: %w", ErrUnanswered, method, c.addr, call.Error)
}

// Close closes the connection, if any.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		c.client.Close()
		c.client = nil
	}
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.client, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, err
	}
	c.client = rpc.NewClientWithCodec(clientCodec{newCodec(conn)})
	return c.client, nil
}

func (c *Client) retire(old *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == old {
		c.client = nil
	}
	old.Close()
}

// Pool keeps one client per peer address.
type Pool struct {
	mu      sync.Mutex // protects clients
	clients map[string]*Client
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{clients: make(map[string]*Client)} }

// Client returns the client of the peer at addr.
func (p *Pool) Client(addr string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[addr]
	if !ok {
		c = NewClient(addr)
		p.clients[addr] = c
	}
	return c
}

// Close closes all clients.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}
