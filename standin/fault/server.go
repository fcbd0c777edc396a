package fault

import (
	"context"
	"net"
	"net/http"
	"time"
)

// acceptedKey is the context key of the time at which a connection was
// accepted.
type acceptedKey struct{}

// NewServer returns an HTTP server whose answers obey the fault of the target.
func NewServer(board *Board, target string, h http.Handler) *http.Server {
	return &http.Server{
		Handler: wrap(board, target, h),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, acceptedKey{}, time.Now())
		},
	}
}

func wrap(board *Board, target string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !waitAnswerable(board, target, r) {
			abort()
		}
		f, _, _ := board.Get(target)
		if !sleep(r.Context(), time.Duration(f.DelayMS)*time.Millisecond) {
			abort()
		}
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if board.TakeLostAnswer(target) {
			h.ServeHTTP(&discard{header: make(http.Header)}, r)
			abort()
		}
		h.ServeHTTP(w, r)
	})
}

// waitAnswerable waits for as long as the fault keeps the connection silent.
// It returns false when the connection is to be closed instead.
func waitAnswerable(board *Board, target string, r *http.Request) bool {
	accepted, _ := r.Context().Value(acceptedKey{}).(time.Time)
	for {
		f, since, changed := board.Get(target)
		if isClosed(f) {
			return false
		}
		silent := f.Silent || f.Frozen || f.SilentOld && accepted.Before(since)
		if !silent {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// abort closes the connection of the current request unanswered.
func abort() { panic(http.ErrAbortHandler) }

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// discard is a response writer that drops the answer.
type discard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header { return d.header }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
