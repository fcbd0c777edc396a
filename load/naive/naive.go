// Package naive is an entry that sends each request to the next endpoint in
// turn. Measurements compare the real entry with it.
package naive

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// responseTimeout bounds the wait for an answer's header.
const responseTimeout = 10 * time.Second

// Entry is a round-robin entry. It implements http.Handler.
type Entry struct {
	endpoints []string
	next      atomic.Uint64
	transport *http.Transport
}

// New returns an entry in front of endpoints, "IP:port" each.
func New(endpoints []string) *Entry {
	t := &http.Transport{MaxIdleConnsPerHost: 64, ResponseHeaderTimeout: responseTimeout, DisableCompression: true}
	e := &Entry{endpoints: endpoints, transport: t}
	e.next.Store(rand.Uint64()) // several entries must not go in step
	return e
}

// Close closes idle connections.
func (e *Entry) Close() { e.transport.CloseIdleConnections() }

// ServeHTTP passes the request to the next endpoint and its answer back.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme = "http"
	out.URL.Host = e.endpoints[e.next.Add(1)%uint64(len(e.endpoints))]
	out.RequestURI = ""
	resp, err := e.transport.RoundTrip(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	io.Copy(w, resp.Body)
}
