package scheduler

import (
	"sync"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/platform/client"
)

// workers keeps one client per worker address, so that connections are reused.
type workers struct {
	mu      sync.Mutex // protects clients
	clients map[string]*client.Worker
}

func newWorkers() *workers { return &workers{clients: make(map[string]*client.Worker)} }

func (w *workers) client(addr string) platform.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.clients[addr]
	if !ok {
		c = client.NewWorker(addr)
		w.clients[addr] = c
	}
	return c
}
