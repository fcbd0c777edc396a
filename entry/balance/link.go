package balance

import (
	"sync/atomic"
	"time"
)

// linkBurst is how far ahead of its rate the link may be used.
const linkBurst = time.Second

// Link is the byte budget of this entry on the link between regions. It is a
// token bucket without locks, held as the time at which it is full again.
type Link struct {
	full  atomic.Int64 // nanoseconds
	bytes atomic.Int64 // spent in total
}

// Take spends n bytes at rate bytes a second and reports whether the budget
// allowed it.
func (l *Link) Take(n, rate int64, now time.Time) bool {
	if rate <= 0 {
		return false
	}
	for {
		old := l.full.Load()
		next := max(old, now.UnixNano()) + n*int64(time.Second)/rate
		if next > now.Add(linkBurst).UnixNano() {
			return false
		}
		if l.full.CompareAndSwap(old, next) {
			l.bytes.Add(n)
			return true
		}
	}
}

// Toll is what a request pays to cross the link.
type Toll struct {
	Link  *Link
	Bytes int64 // expected
	Rate  int64 // bytes a second
}

func (t *Toll) pay(now time.Time) bool { return t.Link.Take(t.Bytes, t.Rate, now) }

// Charge spends n bytes that were already sent.
func (l *Link) Charge(n, rate int64, now time.Time) {
	l.bytes.Add(n)
	if rate <= 0 {
		return
	}
	for {
		old := l.full.Load()
		if l.full.CompareAndSwap(old, max(old, now.UnixNano())+n*int64(time.Second)/rate) {
			return
		}
	}
}

// Bytes returns the bytes spent in total.
func (l *Link) Bytes() int64 { return l.bytes.Load() }
