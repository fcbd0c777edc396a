package load

import (
	"net"
	"sync"
	"sync/atomic"
)

// silentListener accepts connections that can be made silent: they stay open,
// read nothing and drop what is written.
type silentListener struct {
	net.Listener
	newSilent atomic.Bool // new connections are silent too

	mu    sync.Mutex // protects conns
	conns map[*silentConn]struct{}
}

func newSilentListener(l net.Listener) *silentListener {
	return &silentListener{Listener: l, conns: make(map[*silentConn]struct{})}
}

// Accept implements net.Listener.
func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &silentConn{Conn: c, listener: l}
	s.silent.Store(l.newSilent.Load())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[s] = struct{}{}
	return s, nil
}

// silence makes all open connections silent.
func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// open returns the number of open connections.
func (l *silentListener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

type silentConn struct {
	net.Conn
	listener *silentListener
	silent   atomic.Bool
	once     sync.Once
}

// Read implements net.Conn.
func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for c.silent.Load() {
		if err != nil {
			return 0, err
		}
		n, err = c.Conn.Read(b)
	}
	return n, err
}

// Write implements net.Conn.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}

// closeAll closes all open connections.
func (l *silentListener) closeAll() {
	l.mu.Lock()
	open := make([]*silentConn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}
