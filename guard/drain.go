package guard

import (
	"context"
	"net"
	"time"
)

const (
	// idleCheckInterval is the time for which a connection must be seen idle before it is closed. A process that gets little
	// processor time reads what has arrived in that time.
	idleCheckInterval = 50 * time.Millisecond
	// queueTime is the time for which connections are still accepted that the system has set up already.
	queueTime = 100 * time.Millisecond
)

// CloseIdle closes the connections from which nothing has been read since their last response, or since they were accepted.
// It takes 2*idleCheckInterval, in which a request that is on its way makes its connection busy.
//
// The methods of http.Server that close idle connections also close those of which a part of a request was read, until
// all of its header was.
func (g *Guard) CloseIdle(ctx context.Context) {
	var before map[*account]uint64
	for range 3 {
		before = g.idleSince(before)
		select {
		case <-ctx.Done():
			return
		case <-time.After(idleCheckInterval / 2):
		}
	}
	g.mu.Lock()
	var victims []*account
	for a, changes := range before {
		if a.open && a.state == idle && a.changes == changes {
			victims = append(victims, g.ledger.remove(a))
		}
	}
	g.mu.Unlock()
	for _, a := range victims {
		a.close()
	}
}

// idleSince returns the idle connections, with the number of changes of their states; those of before, if it is not nil.
func (g *Guard) idleSince(before map[*account]uint64) map[*account]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[*account]uint64{}
	for e := g.ledger.waiting.Front(); e != nil; e = e.Next() {
		a := e.Value.(*account)
		changes, known := before[a]
		if a.state == idle && (before == nil || known && changes == a.changes) {
			out[a] = a.changes
		}
	}
	return out
}

// Drain accepts the connections that are set up already, closes the listener, and closes connections as they become
// idle. It returns the number of those that are left when ctx ends.
func (g *Guard) Drain(ctx context.Context) (left int) {
	g.mu.Lock()
	l := g.listener
	g.draining = true
	g.mu.Unlock()
	if tcp, ok := l.(*net.TCPListener); ok && tcp.SetDeadline(time.Now().Add(queueTime)) == nil {
		select {
		case <-ctx.Done():
		case <-time.After(queueTime):
		}
	}
	if l != nil {
		l.Close()
	}
	for ctx.Err() == nil {
		if _, left = g.held(); left == 0 {
			return 0
		}
		g.CloseIdle(ctx)
	}
	_, left = g.held()
	return left
}
