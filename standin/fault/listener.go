package fault

import (
	"net"
	"sync"
)

// Listener is a TCP listener that closes its port while the fault of its
// target says so, and opens the same port afterwards.
type Listener struct {
	board  *Registry
	target string
	addr   net.Addr
	done   chan struct{}
	close  sync.Once

	mu    sync.Mutex // protects inner
	inner net.Listener
}

// Listen opens addr, "IP:port", for a target.
func Listen(board *Registry, target, addr string) (*Listener, error) {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &Listener{board: board, target: target, addr: inner.Addr(), done: make(chan struct{}), inner: inner}
	go l.follow()
	return l, nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.addr }

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.done) })
	l.shut()
	return nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.open()
		if err != nil {
			return nil, err
		}
		conn, err := inner.Accept()
		if err == nil {
			return conn, nil
		}
		l.shut()
	}
}

// open waits until the port may be open and returns its listener.
func (l *Listener) open() (net.Listener, error) {
	for {
		f, _, changed := l.board.Get(l.target)
		if !isClosed(f) {
			return l.listen()
		}
		select {
		case <-changed:
		case <-l.done:
			return nil, net.ErrClosed
		}
	}
}

func (l *Listener) listen() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.done:
		return nil, net.ErrClosed
	default:
	}
	if l.inner != nil {
		return l.inner, nil
	}
	inner, err := net.Listen("tcp", l.addr.String())
	if err != nil {
		return nil, err
	}
	l.inner = inner
	return inner, nil
}

func (l *Listener) shut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner != nil {
		l.inner.Close()
		l.inner = nil
	}
}

// follow closes the port when the fault comes up.
func (l *Listener) follow() {
	for {
		f, _, changed := l.board.Get(l.target)
		if isClosed(f) {
			l.shut()
		}
		select {
		case <-changed:
		case <-l.done:
			return
		}
	}
}

func isClosed(f Fault) bool { return f.Refuse || f.Dead }
