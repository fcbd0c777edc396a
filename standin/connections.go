package standin

import (
	"net"
	"net/http"
	"sync"
)

// limitConnections returns a hook that closes each connection over the
// maximum.
func limitConnections(maximum int) func(net.Conn, http.ConnState) {
	var mu sync.Mutex
	open := make(map[net.Conn]struct{})
	return func(conn net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch state {
		case http.StateNew:
			if len(open) >= maximum {
				conn.Close()
				return
			}
			open[conn] = struct{}{}
		case http.StateClosed, http.StateHijacked:
			delete(open, conn)
		}
	}
}
