package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
)

// Server serves net/rpc services to peers.
type Server struct {
	rpc *rpc.Server

	mu    sync.Mutex // protects conns
	conns map[net.Conn]struct{}
}

// NewServer returns a server without services.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
}

// Register adds the exported methods of service under name.
func (s *Server) Register(name string, service any) error {
	if err := s.rpc.RegisterName(name, service); err != nil {
		return fmt.Errorf("register rpc service %s: %w", name, err)
	}
	return nil
}

// Serve accepts connections from l until ctx ends, then closes all of them.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.closeAll()
	})
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			if conn != nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}
		s.track(conn)
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	s.rpc.ServeCodec(serverCodec{newCodec(countedConn{conn})})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}
