package demo

import "sync"

// tail keeps the newest bytes written to it.
type tail struct {
	limit int

	mu   sync.Mutex // protects data
	data []byte
}

// Write implements io.Writer.
func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	t.data = t.data[max(0, len(t.data)-t.limit):]
	return len(p), nil
}

// String returns what is kept.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}
