package owner

import (
	"sync"
	"time"
)

// flight bounds the calls: one at a time for each key, and no two begin closer
// than a given time. A key is forgotten some time after its last call.
type flight struct {
	mu      sync.Mutex           // protects all below
	busy    map[string]time.Time // beginning of the newest call
	running map[string]bool
}

// keyMemory is how long an idle key is kept.
const keyMemory = time.Minute

func (f *flight) begin(key string, every time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.running[key] || now.Sub(f.busy[key]) < every {
		return false
	}
	if f.running == nil {
		f.running = make(map[string]bool)
	}
	f.running[key] = true
	f.busy[key] = now
	f.forget(now)
	return true
}

func (f *flight) end(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, key)
}

func (f *flight) forget(now time.Time) {
	for key, at := range f.busy {
		if now.Sub(at) > keyMemory && !f.running[key] {
			delete(f.busy, key)
		}
	}
}
