package entry

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// sniffBytes is how many bytes of a request's start are kept.
const sniffBytes = 16 << 10

type sniffKey struct{}

// Listener wraps a listener so that the bytes of a request's header can be
// looked at: net/http drops a Content-Length that stands beside a
// Transfer-Encoding before a handler sees it.
func Listener(l net.Listener) net.Listener { return sniffListener{l} }

type sniffListener struct{ net.Listener }

// Accept implements net.Listener.
func (l sniffListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &sniffConn{Conn: c}, nil
}

type sniffConn struct {
	net.Conn
	mu   sync.Mutex // protects seen; only this connection's requests take it
	seen []byte
}

// Read implements net.Conn and keeps the last bytes read.
func (c *sniffConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, p[:n]...)
	if over := len(c.seen) - sniffBytes; over > sniffBytes {
		c.seen = append(c.seen[:0], c.seen[over:]...)
	}
	return n, err
}

// consume hands what was read since the last call to f.
func (c *sniffConn) consume(f func(seen []byte)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.seen)
	c.seen = c.seen[:0]
}

// ConnContext is the http.Server.ConnContext that goes with Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, sniffKey{}, c)
}

// hasLengthAndChunked reports whether a chunked request also carried a
// Content-Length. It is called once at the start of each request. A chunked
// request whose header is not at hand, because it was pipelined or is larger
// than sniffLimit, counts as if it did.
func hasLengthAndChunked(r *http.Request) bool {
	c, ok := r.Context().Value(sniffKey{}).(*sniffConn)
	if !ok {
		return false
	}
	both := false
	c.consume(func(seen []byte) {
		both = len(r.TransferEncoding) > 0 && mayHaveContentLength(seen, []byte(r.Method+" "+r.RequestURI+" "+r.Proto))
	})
	return both
}

// mayHaveContentLength reports whether a header after the request line names
// Content-Length, or whether there is no such header. Bytes of a body can look
// like a header, so that every one that matches is checked.
func mayHaveContentLength(seen, requestLine []byte) bool {
	found := false
	for {
		i := bytes.Index(seen, requestLine)
		if i < 0 {
			return !found
		}
		found = true
		seen = seen[i+len(requestLine):]
		if hasContentLength(seen) {
			return true
		}
	}
}

// hasContentLength looks at the lines up to the empty one.
func hasContentLength(header []byte) bool {
	_, header, _ = bytes.Cut(header, []byte("\n"))
	for line := range bytes.SplitSeq(header, []byte("\n")) {
		name, _, _ := bytes.Cut(bytes.TrimSpace(line), []byte(":"))
		if len(name) == 0 {
			return false
		}
		if bytes.EqualFold(name, []byte("Content-Length")) {
			return true
		}
	}
	return false
}
