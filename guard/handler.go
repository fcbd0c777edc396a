package guard

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

type contextKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(contextKey{}).(*conn)
	return c
}

// handler follows the state of each request and limits its body.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			g.setState(c.account, handling)
			defer g.setState(c.account, finishing)
			next.ServeHTTP(w, r)
			return
		}
		g.setState(c.account, body)
		limit := int64(g.options.BodyBytes())
		if r.ContentLength > limit {
			g.count(refused, bodyTooLarge, 1)
			w.Header().Set("Connection", "close") // the body is not read
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		b := &guardedBody{ReadCloser: r.Body, conn: c, control: http.NewResponseController(w), window: g.options.ProgressWindow}
		defer b.finish()
		request := r.WithContext(r.Context())
		request.Body = http.MaxBytesReader(w, b, limit)
		next.ServeHTTP(w, request)
	})
}

// guardedBody charges a body as it grows, and ends it if it makes no progress.
type guardedBody struct {
	io.ReadCloser
	conn     *conn
	control  *http.ResponseController
	window   time.Duration
	received int       // since the deadline was set
	deadline time.Time // for the next progressBytes
	ended    bool
}

// Read implements io.Reader. The error is ErrOverloaded if there is no memory for the body.
func (b *guardedBody) Read(p []byte) (int, error) {
	if b.window > 0 && (b.deadline.IsZero() || b.received >= progressBytes) {
		b.received, b.deadline = 0, time.Now().Add(b.window)
		b.control.SetReadDeadline(b.deadline) // without effect only if the connection has ended
	}
	n, err := b.ReadCloser.Read(p)
	b.received += n
	g := b.conn.guard
	// The reader's buffer grows by copying.
	if n > 0 && !g.charge(b.conn.account, int64(2*n)) {
		g.count(refused, memoryExhausted, 1)
		return n, ErrOverloaded
	}
	switch {
	case err == io.EOF && !b.ended:
		b.ended = true
		if b.window > 0 {
			b.control.SetReadDeadline(time.Time{})
		}
		g.setState(b.conn.account, handling)
	case b.window > 0 && errors.Is(err, os.ErrDeadlineExceeded):
		g.count(closed, noProgress, 1)
	}
	return n, err
}

// finish ends the handling. The server may still read the rest of the body.
func (b *guardedBody) finish() {
	if !b.ended && b.window > 0 {
		b.control.SetReadDeadline(time.Now().Add(b.window))
	}
	b.conn.guard.setState(b.conn.account, finishing)
}

// Reserve charges the request of a context for n bytes until it ends, and reports whether there
// is room. A context without a connection has room.
func Reserve(ctx context.Context, n int) bool {
	c := connOf(ctx)
	if c == nil || c.guard.charge(c.account, int64(n)) {
		return true
	}
	c.guard.count(refused, memoryExhausted, 1)
	return false
}

// RetryAfter is the time after which a refused request may have room.
const RetryAfter = time.Second
