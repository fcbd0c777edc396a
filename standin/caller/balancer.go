package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	probeEvery   = 100 * time.Millisecond
	probeTimeout = time.Second
)

// Entry is an entry as the platform's balancer knows it.
type Entry struct {
	Address string // "IP:port" for callers
	Ready   string // URL that answers 200 while the entry takes connections; empty for always
}

// balancer hands out the entries that are ready, in turn.
type balancer struct {
	entries []Entry
	ready   []atomic.Bool
	next    atomic.Uint64
	http    http.Client
}

func newBalancer(entries []Entry) *balancer {
	b := &balancer{entries: entries, ready: make([]atomic.Bool, len(entries))}
	b.http = http.Client{Timeout: probeTimeout, Transport: &http.Transport{}}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// pick returns the next entry that is ready, or any when none is.
func (b *balancer) pick() Entry {
	start := b.next.Add(1)
	n := uint64(len(b.entries))
	for i := range n {
		at := (start + i) % n
		if b.ready[at].Load() {
			return b.entries[at]
		}
	}
	return b.entries[start%n]
}

// run probes the entries until ctx ends.
func (b *balancer) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := range b.entries {
		if b.entries[i].Ready != "" {
			group.Go(func() { b.follow(ctx, i) })
		}
	}
}

func (b *balancer) follow(ctx context.Context, i int) {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		b.ready[i].Store(b.probe(ctx, b.entries[i].Ready))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			b.http.CloseIdleConnections()
			return
		}
	}
}

func (b *balancer) probe(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
