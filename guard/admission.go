package guard

import (
	"runtime/metrics"
	"sync"
	"time"
)

const (
	// Percentages of the memory that may be in use, without garbage, while the process accepts
	// more work. Large work leaves room for small work.
	liveShareLarge = 40
	liveShareSmall = 50
	// largeWork is the size from which work is large.
	largeWork = 64 << 10
	// admissionWindow is the time after which accepted work is in the collector's figure.
	admissionWindow = 5 * time.Second
)

// Admission decides whether the process has memory for what accepted work leaves behind. It is
// safe for concurrent use.
type Admission struct {
	mu    sync.Mutex // protects admission
	start time.Time
	admission
}

// NewAdmission returns an Admission for a machine.
func NewAdmission(m Machine) *Admission {
	return &Admission{start: time.Now(), admission: newAdmission(m.memory())}
}

// Admit reports whether there is memory for work that keeps the given number of bytes.
func (a *Admission) Admit(bytes int64) bool {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admit(bytes, int64(sample[0].Value.Uint64()), time.Since(a.start))
}

// admission answers a crowd whose requests are small and legal and leave much work behind, all of
// it accepted before the collector has seen any of it. Time is passed by the caller.
type admission struct {
	memory            int64
	previous, current int64 // bytes admitted in the window before, and in this one
	// Bytes in use at the start of the window before, and of this one.
	livePrevious, liveStart int64
	windowStart             time.Duration
}

func newAdmission(memory int64) admission {
	return admission{memory: memory, windowStart: -2 * admissionWindow}
}

// admit decides on work of a size, when live bytes are known to be in use.
func (a *admission) admit(bytes, live int64, now time.Duration) bool {
	if elapsed := now - a.windowStart; elapsed >= admissionWindow {
		a.previous, a.livePrevious = a.current, a.liveStart
		if elapsed >= 2*admissionWindow {
			a.previous, a.livePrevious = 0, live
		}
		a.current, a.liveStart, a.windowStart = 0, live, now
	}
	share := int64(liveShareSmall)
	if bytes > largeWork {
		share = liveShareLarge
	}
	// Work that alone exceeds the share is accepted by an otherwise empty process.
	kept := max(live, a.livePrevious+a.previous+a.current)
	if kept+bytes > a.memory/100*share && kept > a.memory/100*(share/2) {
		return false
	}
	a.current += bytes
	return true
}
