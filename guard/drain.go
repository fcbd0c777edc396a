package guard

import (
	"context"
	"net"
	"time"
)

const (
	// quietTime is the time without a byte from any client after which a listener is closed.
	quietTime = 400 * time.Millisecond
	// quietCheckInterval is the time between two checks of that.
	quietCheckInterval = 25 * time.Millisecond
	// idleCheckInterval is the time for which a connection must be seen idle before it is closed. A process that gets little
	// processor time reads what has arrived in that time.
	idleCheckInterval = 50 * time.Millisecond
	// queueTime is the time for which connections are still accepted that the system has set up already.
	queueTime = 100 * time.Millisecond
)

// Drain waits until clients are quiet, for at most maxWait, accepts the connections that are set up already and closes the
// listener. Then it closes connections as they become idle, until none is left or ctx ends. It returns the number of
// those that are left.
//
// A request that is on its way when its connection is closed gets no answer, and its client can't tell whether it was
// carried out. So connections stay open while clients that have not heard of the end of the process still use them.
func (g *Guard) Drain(ctx context.Context, maxWait time.Duration) (left int) {
	quiet, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for g.quietFor() < quietTime && pause(quiet, quietCheckInterval) {
	}
	g.mu.Lock()
	l := g.listener
	g.draining = true
	g.mu.Unlock()
	if tcp, ok := l.(*net.TCPListener); ok && tcp.SetDeadline(time.Now().Add(queueTime)) == nil {
		pause(ctx, queueTime)
	}
	if l != nil {
		l.Close()
	}
	for {
		if _, left = g.held(); left == 0 || ctx.Err() != nil {
			return left
		}
		g.closeIdle(ctx)
	}
}

// quietFor returns the time since a client was last heard of.
func (g *Guard) quietFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.heardAt)
}

// pause waits for d. It returns false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// closeIdle closes the connections from which nothing is read for idleCheckInterval, and nothing has been since their last
// response or since they were accepted.
//
// The methods of http.Server that close idle connections also close those of which a part of a request was read, until
// all of its header was.
func (g *Guard) closeIdle(ctx context.Context) {
	var idleBefore map[*account]uint64
	for range 3 { // the process has looked for input between the second time and the third
		idleBefore = g.idleSince(idleBefore)
		if !pause(ctx, idleCheckInterval/2) {
			return
		}
	}
	g.mu.Lock()
	var victims []*account
	for a, changes := range idleBefore {
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
