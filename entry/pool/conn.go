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

// isQuiet reports whether the connection is open and nothing waits to be read.
// Bytes that arrive outside an exchange belong to no request.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
