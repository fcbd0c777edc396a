package entry_test

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/entry/source"
	"github.com/peridotlock/peridotlock/load"
)

// answerAll answers each request without a body at once and allocates nothing.
func answerAll(l net.Listener) {
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok")
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			var buffer [4 << 10]byte
			for {
				n, err := c.Read(buffer[:])
				if err != nil {
					return
				}
				if bytes.HasSuffix(buffer[:n], []byte("\r\n\r\n")) {
					c.Write(answer)
				}
			}
		}()
	}
}

// discard is a response writer that keeps the status only.
type discard struct {
	header http.Header
	status int
}

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(status int)      { d.status = status }

// BenchmarkRequest measures the entry's handler with its exchange over
// loopback; neither the caller's side nor the endpoint allocates.
func BenchmarkRequest(b *testing.B) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		path := map[string]string{http.MethodGet: load.IdempotentPath, http.MethodPost: load.NonIdempotentPath}[method]
		b.Run(method, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			go answerAll(l)
			s := &bench{ledger: load.NewLedger()}
			s.start(time.Second, nil)
			defer s.server.Close()
			vms := s.vms()
			endpoint := vms[0]
			endpoint.ID, endpoint.Kind, endpoint.Address = "e", "endpoint", l.Addr().String()
			endpoint.Service, endpoint.FailureDomain, endpoint.Slots = service, domainA, 8
			s.entry.Apply(source.Snapshot{View: s.view, VMs: append(vms, endpoint)})
			r := httptest.NewRequest(method, path, nil)
			w := &discard{header: make(http.Header)}
			b.ReportAllocs()
			for b.Loop() {
				clear(w.header)
				s.entry.ServeHTTP(w, r)
				if w.status != http.StatusOK {
					b.Fatal(w.status)
				}
			}
		})
	}
}
