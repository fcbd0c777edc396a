package stream

import (
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/platform"
)

const (
	priorities = 3
	recentKept = 1024 // outcomes of a stream that are remembered
)

// pending is one entry on its way to the log.
type pending struct {
	entry  Entry
	since  time.Time
	done   chan struct{}
	offset platform.Offset // valid once done is closed
	err    error           // likewise

	record  string // id of the newest attempt
	queued  bool   // certainly not in the stream
	waiters int
}

func newPending(e Entry, now time.Time) *pending {
	return &pending{entry: e, since: now, done: make(chan struct{}), waiters: 1}
}

func (p *pending) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// lane is the queue of one stream.
type lane struct {
	name   string
	queue  [priorities][]*pending
	open   map[string]*pending // by entry id, queued or being written
	recent recent
	busy   bool            // an append is in flight or in doubt
	after  time.Time       // no append before
	floor  platform.Offset // records not yet written get this offset or more; -1 for unknown
	fails  int             // refused appends in a row
}

func newLane(name string) *lane {
	return &lane{name: name, open: make(map[string]*pending), floor: -1}
}

func (l *lane) push(p *pending) {
	p.queued = true
	i := l.slot(p)
	l.queue[i] = append(l.queue[i], p)
}

// pushFront puts entries back ahead of the others of their priority.
func (l *lane) pushFront(batch []*pending) {
	for i := len(batch) - 1; i >= 0; i-- {
		p := batch[i]
		p.queued = true
		s := l.slot(p)
		l.queue[s] = slices.Insert(l.queue[s], 0, p)
	}
}

func (l *lane) slot(p *pending) int {
	return min(max(int(p.entry.Priority), 0), priorities-1)
}

func (l *lane) remove(p *pending) {
	i := l.slot(p)
	if n := slices.Index(l.queue[i], p); n >= 0 {
		l.queue[i] = slices.Delete(l.queue[i], n, n+1)
	}
}

// head returns the next entry, or nil.
func (l *lane) head() *pending {
	for _, q := range l.queue {
		if len(q) > 0 {
			return q[0]
		}
	}
	return nil
}

// take removes the next batch, in the order of priority, and names its attempts.
func (l *lane) take() []*pending {
	var batch []*pending
	size := 0
	for i, q := range l.queue {
		n := 0
		for n < len(q) && len(batch) < batchRecords {
			size += len(q[n].entry.Data)
			if size > batchBytes && len(batch) > 0 {
				break
			}
			q[n].queued = false
			q[n].record = newRecordID(q[n].entry.ID)
			batch = append(batch, q[n])
			n++
		}
		l.queue[i] = q[n:]
		if n < len(q) {
			break
		}
	}
	return batch
}

// takeAll empties the queue.
func (l *lane) takeAll() []*pending {
	var all []*pending
	for i, q := range l.queue {
		all = append(all, q...)
		l.queue[i] = nil
	}
	return all
}

// recent remembers the newest outcomes.
type recent struct {
	byID  map[string]*pending
	order []string
}

func (r *recent) get(id string) (*pending, bool) {
	p, ok := r.byID[id]
	return p, ok
}

func (r *recent) put(p *pending) {
	if r.byID == nil {
		r.byID = make(map[string]*pending)
	}
	if len(r.order) == recentKept {
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
	p.entry.Data = nil
	r.byID[p.entry.ID] = p
	r.order = append(r.order, p.entry.ID)
}
