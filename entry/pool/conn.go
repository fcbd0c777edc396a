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
	raw          syscall.RawConn
	limit        io.LimitedReader // bounds the header of an answer
	reader       *bufio.Reader
	writer       *bufio.Writer
	generation   uint64
	idleSince    time.Time
	writeStarted bool // a write was begun in this exchange
	partialWrite bool // the request was not written to its end
}

func newConn(c net.Conn, generation uint64) *conn {
	out := &conn{Conn: c, generation: generation}
	if s, ok := c.(syscall.Conn); ok {
		out.raw, _ = s.SyscallConn()
	}
	out.limit = io.LimitedReader{R: c, N: math.MaxInt64}
	out.reader = bufio.NewReaderSize(&out.limit, readBuffer)
	out.writer = bufio.NewWriterSize(writeRecorder{out}, writeBuffer)
	return out
}

// writeRecorder notes that a write was begun before it starts.
type writeRecorder struct{ c *conn }

func (m writeRecorder) Write(p []byte) (int, error) {
	m.c.writeStarted = true
	return m.c.Conn.Write(p)
}

// connState is what the socket holds outside an exchange.
type connState int

const (
	stateIdle           connState = iota // open, nothing to be read
	stateUnexpectedData                  // bytes that belong to no request
	stateClosed
)

// state looks at the connection without reading from it.
func (c *conn) state() connState {
	if c.reader.Buffered() > 0 {
		return stateUnexpectedData
	}
	if c.raw == nil {
		return stateIdle
	}
	out := stateClosed
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EWOULDBLOCK:
			out = stateIdle
		case err == nil && n > 0:
			out = stateUnexpectedData
		}
		return true
	})
	if err != nil {
		return stateClosed
	}
	return out
}
