package entry

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// sniffBytes is the number of most recently read bytes that are kept at least.
const sniffBytes = 16 << 10

type sniffKey struct{}

// Listener wraps a listener so that the raw bytes of a request's header can be
// inspected: net/http removes a Content-Length header of a chunked request before
// a handler sees it. It must be used together with ConnContext.
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

// Read implements net.Conn and keeps a copy of the last bytes read.
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

// consume calls f with the bytes kept since the last call and discards them.
func (c *sniffConn) consume(f func(seen []byte)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.seen)
	c.seen = c.seen[:0]
}

// ConnContext is the http.Server.ConnContext to be used together with Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, sniffKey{}, c)
}

// hasLengthAndChunked reports whether a chunked request also has a Content-Length.
// It must be called once at the start of each request. It returns true for a chunked
// request whose header was not kept, because the request was pipelined or the header
// is larger than sniffBytes.
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

// mayHaveContentLength reports whether any header after requestLine includes
// Content-Length, or whether seen does not contain requestLine. All occurrences are
// checked, since bytes of a body can look like a header.
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

// hasContentLength reports whether the lines up to the first empty one include a
// Content-Length header.
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
