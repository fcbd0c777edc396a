package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxInFlight  = 256             // calls per peer
	dialTimeout  = 2 * time.Second // per connection
	writeTimeout = time.Second     // per write; a peer that does not read is unresponsive
)

// ErrNotSent is returned when the call did not reach the peer.
var ErrNotSent = errors.New("call not sent")

// ErrBusy is returned when too many calls to the peer are in flight. It wraps
// ErrNotSent.
var ErrBusy = fmt.Errorf("%w: too many calls in flight", ErrNotSent)

// ErrUnanswered is returned when the peer may or may not have executed the call.
var ErrUnanswered = errors.New("call not answered")

// Client calls one peer. It connects on first use. A call that exceeds its
// deadline closes the connection, since a connection without answers gives no
// information about the state of the peer.
type Client struct {
	addr     string
	inFlight atomic.Int64
	lastUsed atomic.Int64 // time of the latest use, ns since the Unix epoch

	mu      sync.Mutex // protects the fields below
	client  *rpc.Client
	dialing *dial
}

// NewClient returns a client for the peer at addr, "IP:port". It does not connect
// yet.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Call executes method at the peer. Reply is a pointer; its target is set if the
// call succeeds and unchanged otherwise. An error wraps ErrNotSent or
// ErrUnanswered, or is an rpc.ServerError with the error text of the peer.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	err := c.call(ctx, method, args, reply)
	switch {
	case errors.Is(err, ErrNotSent):
		callsNotSent.Inc()
	case errors.Is(err, ErrUnanswered):
		callsUnanswered.Inc()
	}
	return err
}

func (c *Client) call(ctx context.Context, method string, args, reply any) error {
	countCall(method)
	c.lastUsed.Store(time.Now().UnixNano())
	if c.inFlight.Add(1) > maxInFlight {
		c.inFlight.Add(-1)
		return ErrBusy
	}
	defer c.inFlight.Add(-1)
	client, err := c.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: connect %s: %w", ErrNotSent, c.addr, err)
	}
	// net/rpc may still decode an answer after the deadline, so it decodes into a
	// separate value that is copied to reply only when the call has ended.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		c.retire(client)
		return fmt.Errorf("%w: %s to %s: %w", ErrUnanswered, method, c.addr, ctx.Err())
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(answer.Elem())
		return nil
	}
	var serverErr rpc.ServerError
	if errors.As(call.Error, &serverErr) {
		return call.Error
	}
	c.retire(client)
	return fmt.Errorf("%w: %s to %s: %w", ErrUnanswered, method, c.addr, call.Error)
}

// isIdle reports whether no call is in flight and the client was not used within
// idleLimit.
func (c *Client) isIdle(now time.Time) bool {
	return c.inFlight.Load() == 0 && now.Sub(time.Unix(0, c.lastUsed.Load())) >= idleLimit
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

// dial is one connection attempt, shared by all calls that wait for it.
type dial struct {
	done   chan struct{} // closed when client and err are set
	client *rpc.Client
	err    error
}

// connect returns the current connection, or waits for a new one until ctx ends.
func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	if c.client != nil {
		defer c.mu.Unlock()
		return c.client, nil
	}
	if c.dialing == nil {
		c.dialing = &dial{done: make(chan struct{})}
		go c.dial(c.dialing)
	}
	d := c.dialing
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.client, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial connects without holding mu, since it may take up to dialTimeout.
func (c *Client) dial(d *dial) {
	conn, err := net.DialTimeout("tcp", c.addr, dialTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(d.done)
	c.dialing = nil
	if err != nil {
		d.err = err
		return
	}
	d.client = rpc.NewClientWithCodec(clientCodec{newCodec(countedConn{conn})})
	c.client = d.client
}

// retire closes old. If it is the current connection, the next call opens a new
// one.
func (c *Client) retire(old *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == old {
		c.client = nil
	}
	old.Close()
}
