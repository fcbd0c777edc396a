package guard

import "container/list"

// Limits bound what the connections of one listener hold together.
type Limits struct {
	Bytes           int64 // of all connections and their requests
	Connections     int
	ConnectionBytes int64 // charged for a connection without a request
	ReceiveBuffer   int   // bytes that a connection receives while nothing reads them
	Backlog         int   // connections that are not accepted yet
}

// smallRequest is the size up to which a request may use the whole budget. Larger ones leave an
// eighth of it, so that ordinary requests get in while a crowd of large ones fills the rest.
const smallRequest = 64 << 10

// state is what a connection waits for.
type state byte

const (
	idle      state = iota // the first byte of a request
	header                 // the end of a header
	body                   // the end of a body
	handling               // the handler, not the client
	finishing              // the rest of a body that the handler has not read, or the client to read the response
)

// account is what one connection holds.
type account struct {
	state   state
	changes uint64 // of state
	bytes   int64  // of its requests
	element *list.Element
	open    bool
	close   func() // closes the connection
}

// ledger decides which connections may stay and how much memory each may take. It answers a
// crowd that holds more connections or memory than the machine has, most of it in requests that
// never end: what has waited longest for its client gives way to what is new, so that a caller
// who finishes its requests gets in. A connection whose request is being handled never gives
// way. It has no clock: the order of the changes of state is that of waiting.
type ledger struct {
	limits  Limits
	bytes   int64
	count   int
	waiting list.List // accounts that wait for their client, longest first
}

// add opens an account and returns those that must be closed for it. It returns nil if none can
// be closed.
func (l *ledger) add(closeConn func()) (a *account, victims []*account) {
	for l.count >= l.limits.Connections || l.bytes+l.limits.ConnectionBytes > l.limits.Bytes {
		front := l.waiting.Front()
		if front == nil {
			return nil, victims
		}
		victims = append(victims, l.remove(front.Value.(*account)))
	}
	a = &account{open: true, close: closeConn}
	a.element = l.waiting.PushBack(a)
	l.count++
	l.bytes += l.limits.ConnectionBytes
	return a, victims
}

// setState moves an account behind all others that wait, or out of their list.
func (l *ledger) setState(a *account, s state) {
	if !a.open || a.state == s {
		return
	}
	a.state = s
	a.changes++
	switch {
	case s == handling && a.element != nil:
		l.waiting.Remove(a.element)
		a.element = nil
	case s != handling && a.element == nil:
		a.element = l.waiting.PushBack(a)
	case s != handling:
		l.waiting.MoveToBack(a.element)
	}
}

// touch moves a waiting account behind all others.
func (l *ledger) touch(a *account) {
	if a.open && a.element != nil {
		l.waiting.MoveToBack(a.element)
	}
}

// charge adds n bytes to a request and returns the accounts that must be closed for it. It
// returns false, and closes none but these, if there is no room or a itself has waited longest.
func (l *ledger) charge(a *account, n int64) (victims []*account, ok bool) {
	if !a.open {
		return nil, false
	}
	limit := l.limits.Bytes
	if a.bytes+n > smallRequest {
		limit -= limit / 8
	}
	for e := l.waiting.Front(); l.bytes+n > limit; {
		if e == nil || e.Value.(*account) == a {
			return victims, false
		}
		next := e.Next()
		if other := e.Value.(*account); other.bytes > 0 {
			victims = append(victims, l.remove(other))
		}
		e = next
	}
	a.bytes += n
	l.bytes += n
	return victims, true
}

// release ends the charges of an account's requests.
func (l *ledger) release(a *account, n int64) {
	if a.open {
		n = min(n, a.bytes)
		a.bytes -= n
		l.bytes -= n
	}
}

// remove closes an account and returns it.
func (l *ledger) remove(a *account) *account {
	if !a.open {
		return a
	}
	a.open = false
	l.count--
	l.bytes -= l.limits.ConnectionBytes + a.bytes
	if a.element != nil {
		l.waiting.Remove(a.element)
		a.element = nil
	}
	return a
}
