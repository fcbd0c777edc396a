package wire

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Traffic with peers, of all clients and servers of the process.
var (
	bytesReceived = metrics.NewCounter(`peridotlock_peer_bytes_total{direction="received"}`)
	bytesSent     = metrics.NewCounter(`peridotlock_peer_bytes_total{direction="sent"}`)
	callsNotSent  = metrics.NewCounter(`peridotlock_peer_call_failures_total{reason="not-sent"}`)
	callsLost     = metrics.NewCounter(`peridotlock_peer_call_failures_total{reason="unanswered"}`)
)

// countCall counts a call by its method, of which there are few.
func countCall(method string) {
	metrics.GetOrCreateCounter(`peridotlock_peer_calls_total{method="` + method + `"}`).Inc()
}

// countedConn counts the bytes of a connection and bounds the time of a write.
type countedConn struct{ net.Conn }

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesReceived.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	bytesSent.Add(n)
	return n, err
}
