package logsvc

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/peridotlock/peridotlock/platform"
)

const (
	maxBodyBytes   = 16 << 20
	maxQueueTime   = 2 * time.Second // an append that would wait longer is refused
	maxWait        = time.Minute
	defaultMaximum = 1000 // records of a read
	burst          = 50   // appends at once
)

// Server serves a store over HTTP.
type Server struct {
	store   *Store
	limiter *rate.Limiter
}

// NewServer returns a server that takes the given number of appends a second.
func NewServer(s *Store, appendsPerSecond float64) *Server {
	return &Server{store: s, limiter: rate.NewLimiter(rate.Limit(appendsPerSecond), burst)}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}", s.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}", s.serveRead)
	return mux
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body platform.AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, "decode append: "+err.Error(), http.StatusBadRequest)
		return
	}
	if len(body.Records) == 0 {
		http.Error(w, "append of no records", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxQueueTime)
	defer cancel()
	if err := s.limiter.Wait(ctx); err != nil {
		http.Error(w, "too many appends", http.StatusServiceUnavailable)
		return
	}
	first := s.store.Append(r.PathValue("stream"), body.Records, time.Now())
	write(w, http.StatusOK, platform.AppendReply{First: first})
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a number", http.StatusBadRequest)
		return
	}
	maximum := number(r, "max", defaultMaximum)
	wait := min(time.Duration(number(r, "wait_ms", 0))*time.Millisecond, maxWait)
	batch, trimmed := s.read(r.Context(), r.PathValue("stream"), platform.Offset(from), maximum, wait)
	if trimmed {
		write(w, http.StatusGone, batch)
		return
	}
	write(w, http.StatusOK, batch)
}

// read waits until there is a record at or after from or the wait is over.
func (s *Server) read(ctx context.Context, stream string, from platform.Offset, maximum int, wait time.Duration) (platform.Batch, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		batch, trimmed, grown := s.store.Read(stream, from, maximum, time.Now())
		if trimmed || len(batch.Records) > 0 {
			return batch, trimmed
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return batch, false
		}
	}
}

func number(r *http.Request, name string, fallback int) int {
	n, err := strconv.Atoi(r.FormValue(name))
	if err != nil || n < 0 {
		return fallback
	}
	return n
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header()["Date"] = nil // keeps the library from adding it
	w.WriteHeader(status)
	// An error here means that the connection is gone, so nobody can be told.
	_ = json.NewEncoder(w).Encode(body)
}
