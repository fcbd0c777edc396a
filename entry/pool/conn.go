package pool

import (
	"bufio"
	"io"
	"math"
	"net"
	"syscall"
	"time"
)

const (
	readBuffer  = 4 << 10 // bytes
	writeBuffer = 4 << 10 // bytes
)

// conn is one connection to an endpoint, used by one exchange at a time.
type conn struct {
	net.Conn
	raw        syscall.RawConn
	limit      io.LimitedReader // bounds the header of an answer
	reader     *bufio.Reader
	writer     *bufio.Writer
	generation uint64
	idleSince  time.Time
	wrote      bool // a write was begun in this exchange
	partial    bool // the request was not written to its end
}

func newConn(c net.Conn, generation uint64) *conn {
	out := &conn{Conn: c, generation: generation}
	if s, ok := c.(syscall.Conn); ok {
		out.raw, _ = s.SyscallConn()
	}
	out.limit = io.LimitedReader{R: c, N: math.MaxInt64}
	out.reader = bufio.NewReaderSize(&out.limit, readBuffer)
	out.writer = bufio.NewWriterSize(writeMark{out}, writeBuffer)
	return out
}

// writeMark notes that a write was begun before it starts.
type writeMark struct{ c *conn }

func (m writeMark) Write(p []byte) (int, error) {
	m.c.wrote = true
	return m.c.Conn.Write(p)
}

// connState is what the socket holds outside an exchange.
type connState int

const (
	stateQuiet   connState = iota // open, nothing to be read
	stateSurplus                  // bytes that belong to no request
	stateClosed
)

// state looks at the connection without reading from it.
func (c *conn) state() connState {
	if c.reader.Buffered() > 0 {
		return stateSurplus
	}
	if c.raw == nil {
		return stateQuiet
	}
	out := stateClosed
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EWOULDBLOCK:
			out = stateQuiet
		case err == nil && n > 0:
			out = stateSurplus
		}
		return true
	})
	if err != nil {
		return stateClosed
	}
	return out
}
