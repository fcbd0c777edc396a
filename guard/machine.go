package guard

import (
	"os"
	"runtime/debug"
)

// Machine is what the process may use.
type Machine struct {
	MemoryMB int // 0 for DefaultMemoryMB
	FDs      int // 0 for DefaultFDs
}

// The smallest machine of the platform's documentation.
const (
	DefaultMemoryMB = 160
	DefaultFDs      = 4100
)

const (
	reservedFDs = 200 // for files
	// connectionBytes is the memory of a connection without a request: its goroutine and the
	// buffers of net/http.
	connectionBytes = 16 << 10
	// collectorShare is the percentage of the memory from which the collector works harder. The
	// rest is for what it does not manage: receive buffers and the program itself.
	collectorShare = 60
	// Without a size, the kernel lets the receive buffer of a connection grow to several MB.
	minReceiveBuffer = 4 << 10
	maxReceiveBuffer = 32 << 10
	minBacklog       = 128
	maxBacklog       = 4096
)

func (m Machine) memory() int64 {
	if m.MemoryMB <= 0 {
		return DefaultMemoryMB << 20
	}
	return int64(m.MemoryMB) << 20
}

func (m Machine) sockets() int {
	if m.FDs <= 0 {
		return DefaultFDs - reservedFDs
	}
	return max(m.FDs-reservedFDs, 0)
}

// Callers returns the limits for callers: a quarter of the memory and half of the sockets.
func (m Machine) Callers() Limits {
	return NewLimits(m.memory()/4, m.sockets()/2, connectionBytes, maxReceiveBuffer)
}

// Probes returns the limits of a listener for the platform and operators, who use few
// connections.
func (m Machine) Probes() Limits {
	return NewLimits(m.memory()/40, min(32, m.sockets()/16), connectionBytes, maxReceiveBuffer)
}

// Peers returns the limits of a listener for other VMs.
func (m Machine) Peers() Limits {
	return NewLimits(m.memory()/16, m.sockets()/8, connectionBytes, maxReceiveBuffer)
}

// NewLimits returns limits of which connections without a request take half of the bytes at
// most. Receive buffers take half as many bytes beside these, and those of connections that are
// not accepted yet a quarter.
func NewLimits(bytes int64, connections int, perConnection int64, maxBuffer int) Limits {
	connections = max(1, min(connections, int(bytes/2/perConnection)))
	buffer := max(minReceiveBuffer, min(maxBuffer, int(bytes/2)/connections))
	return Limits{
		Bytes: bytes, Connections: connections, ConnectionBytes: perConnection,
		ReceiveBuffer: buffer,
		Backlog:       max(minBacklog, min(maxBacklog, int(bytes/4)/buffer)),
	}
}

// LimitCollector makes the collector work harder before the process exceeds its memory. It has
// no effect if the memory is not known or the environment sets GOMEMLIMIT.
func (m Machine) LimitCollector() {
	if m.MemoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(m.memory() / 100 * collectorShare)
	}
}
