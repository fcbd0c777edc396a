package entry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/load"
)

// BenchmarkRequest measures the entry alone: the caller's side is a recorder,
// the endpoint is a server on loopback that answers at once.
func BenchmarkRequest(b *testing.B) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		path := map[string]string{http.MethodGet: load.IdempotentPath, http.MethodPost: load.NonIdempotentPath}[method]
		b.Run(method, func(b *testing.B) {
			s := &bench{ledger: load.NewLedger()}
			e, err := load.NewEndpoint(load.EndpointOptions{Slots: 64, Connections: 1000, Ledger: s.ledger})
			if err != nil {
				b.Fatal(err)
			}
			defer e.Stop()
			s.endpoints = []*load.Endpoint{e}
			s.start(time.Second, nil)
			defer s.server.Close()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := httptest.NewRequest(method, path, nil)
				r.Header.Set(load.IDHeader, fmt.Sprint(i))
				w := httptest.NewRecorder()
				s.entry.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatal(w.Code, w.Body)
				}
			}
		})
	}
}
