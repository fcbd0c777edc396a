// Package interference learns by how much tasks of one kind slow down those of
// another on the same VM, from lagging measurements. It holds no clock.
package interference

// Model estimates slowdowns.
type Model interface {
	// Slowdown returns the expected ratio, 1 or more, of the latency or run
	// time of a victim beside a neighbour to that when alone.
	Slowdown(victim, neighbour string) float64
}

// None is a model without interference.
type None struct{}

// Slowdown returns 1.
func (None) Slowdown(string, string) float64 { return 1 }
