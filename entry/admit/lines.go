package admit

import (
	"slices"

	"github.com/peridotlock/peridotlock/fleet"
)

// line holds the waiters of one caller, the nearest deadline first.
type line struct {
	caller  string
	waiters []*Waiter
}

func (l *line) holds(w *Waiter) bool { return slices.Contains(l.waiters, w) }

// lines serves its lines in turn. It is not safe for concurrent use.
type lines struct {
	byCaller map[string]*line
	ring     []*line // the next to be served first
	total    int
}

func newLines() lines { return lines{byCaller: make(map[string]*line)} }

func (s *lines) add(w *Waiter) {
	l, ok := s.byCaller[w.Caller]
	if !ok {
		l = &line{caller: w.Caller}
		s.byCaller[w.Caller] = l
		s.ring = append(s.ring, l)
	}
	i := len(l.waiters)
	for i > 0 && w.Deadline.Before(l.waiters[i-1].Deadline) {
		i--
	}
	l.waiters = slices.Insert(l.waiters, i, w)
	w.line = l
	s.total++
}

func (s *lines) remove(w *Waiter) {
	l := w.line
	i := slices.Index(l.waiters, w)
	l.waiters = slices.Delete(l.waiters, i, i+1)
	s.total--
	if len(l.waiters) == 0 {
		delete(s.byCaller, l.caller)
		s.ring = slices.DeleteFunc(s.ring, func(o *line) bool { return o == l })
	}
}

// head returns the next waiter to serve, or nil.
func (s *lines) head() *Waiter {
	if len(s.ring) == 0 {
		return nil
	}
	return s.ring[0].waiters[0]
}

// advance moves l behind all other lines after it was served.
func (s *lines) advance(l *line) {
	if len(s.ring) > 1 && s.ring[0] == l {
		copy(s.ring, s.ring[1:])
		s.ring[len(s.ring)-1] = l
	}
}

// ahead estimates how many waiters are served before a new one of caller: half
// way between those that wait now and those that wait if the others keep their
// lines filled.
func (s *lines) ahead(caller string) int {
	own := 0
	if l := s.byCaller[caller]; l != nil {
		own = len(l.waiters)
	}
	n := 0
	for _, l := range s.ring {
		n += min(len(l.waiters), own+1)
	}
	return (n + own*len(s.ring)) / 2
}

// victim returns the waiter to give up: of the longest line the idempotent one
// with the latest deadline, or the latest when none is idempotent.
func (s *lines) victim() *Waiter {
	longest := s.ring[0]
	for _, l := range s.ring[1:] {
		if len(l.waiters) >= len(longest.waiters) {
			longest = l
		}
	}
	for _, w := range slices.Backward(longest.waiters) {
		if w.Class == fleet.Idempotent {
			return w
		}
	}
	return longest.waiters[len(longest.waiters)-1]
}
