// Package fleet holds the vocabulary that all other packages share: sizes,
// paths in the settings tree, and the classes of work.
package fleet

import "fmt"

// Resources is an amount of processor time, memory and accelerators.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu" yaml:"milli-cpu" cbor:"1,keyasint"`       // thousandths of a core
	MemoryMB     int64 `json:"memory_mb" yaml:"memory-mb" cbor:"2,keyasint"`       // MiB
	Accelerators int64 `json:"accelerators" yaml:"accelerators" cbor:"3,keyasint"` // whole devices
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r less o. Members may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether every member of r is at most that of limit.
func (r Resources) Fits(limit Resources) bool {
	return r.MilliCPU <= limit.MilliCPU && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

// Max returns the larger of each member of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// IsZero reports whether all members are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// IsNegative reports whether any member is below zero.
func (r Resources) IsNegative() bool { return r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0 }

// String returns a short form such as "2000m/4096MB/1acc".
func (r Resources) String() string {
	return fmt.Sprintf("%dm/%dMB/%dacc", r.MilliCPU, r.MemoryMB, r.Accelerators)
}
