package guard

import (
	"bytes"
	"net"
	"os"
	"strconv"
	"time"
)

// conn is a connection of a client. It counts headers as they arrive, before net/http parses
// them.
type conn struct {
	net.Conn
	guard   *Guard
	account *account

	// Of the header that arrives; used only by the goroutine that reads it.
	headerBytes int
}

// unwrap returns the conn inside c, or nil.
func unwrap(c net.Conn) *conn {
	for {
		if own, ok := c.(*conn); ok {
			return own
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	g := c.guard
	g.mu.Lock()
	g.heardAt = time.Now()
	s := c.account.state
	if s == idle {
		g.ledger.setState(c.account, header)
	}
	g.mu.Unlock()
	switch s {
	case idle, header:
		return n, c.readHeader(p[:n], err)
	case handling:
		// The client sends the next request before it has its response. What it sends stays in the
		// receive buffer.
		if !g.charge(c.account, int64(g.options.Limits.ReceiveBuffer)) {
			g.count(closed, memoryExhausted, 1)
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err
}

// readHeader counts a part of a header. It returns an error if that must not be parsed.
func (c *conn) readHeader(part []byte, err error) error {
	c.headerBytes += len(part)
	if c.headerBytes > c.guard.options.HeaderBytes()+headerSlack {
		return c.refuse("431 Request Header Fields Too Large", headerTooLarge)
	}
	lines := bytes.Count(part, []byte{'\n'})
	if !c.guard.charge(c.account, int64(2*len(part)+lineBytes*lines)) {
		return c.refuse("503 Service Unavailable\r\nRetry-After: "+strconv.Itoa(int(RetryAfter.Seconds())), memoryExhausted)
	}
	return err
}

// refuse answers a request whose header is not parsed. Its error is one on which net/http writes
// no response of its own.
func (c *conn) refuse(status, reason string) error {
	c.guard.count(refused, reason, 1)
	c.SetWriteDeadline(time.Now().Add(time.Second))
	c.Conn.Write([]byte("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")) // the connection ends in any case
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: ErrOverloaded}
}

// Write implements net.Conn. A client that does not read is disconnected.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.ledger.remove(c.account)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// becomeIdle ends a request.
func (c *conn) becomeIdle() {
	c.headerBytes = 0
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.release(c.account, c.account.bytes)
	g.ledger.setState(c.account, idle)
}

// callConn is a connection of a protocol other than HTTP.
type callConn struct{ *conn }

// Read implements net.Conn.
func (c callConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.ledger.touch(c.account)
	return n, err
}
