package faultnet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is one relayed connection. The end of a direction is where its bytes
// are written.
type link struct {
	relay  *Relay
	ends   [directions]*net.TCPConn
	silent [directions]atomic.Bool
}

// chunk is a piece of data and when it is to be written.
type chunk struct {
	data []byte
	due  time.Time
}

// run relays until both directions have ended.
func (l *link) run() {
	var group sync.WaitGroup
	for d := range directions {
		queue := make(chan chunk, queueChunks)
		group.Go(func() { l.read(d, queue) })
		group.Go(func() { l.write(d, queue) })
	}
	group.Wait()
	for _, end := range l.ends {
		end.Close()
	}
}

func (l *link) reset() {
	for _, end := range l.ends {
		end.SetLinger(0)
		end.Close()
	}
}

func (l *link) read(d Direction, queue chan<- chunk) {
	defer close(queue)
	source := l.ends[1-d]
	for {
		data := make([]byte, chunkBytes)
		n, err := source.Read(data)
		condition, _ := l.relay.now(d)
		if n > 0 && condition.Silent[d] {
			l.silent[d].Store(true)
		}
		if n > 0 && !l.silent[d].Load() {
			queue <- chunk{data: data[:n], due: time.Now().Add(condition.Delay)}
		}
		if err != nil {
			return
		}
	}
}

// write writes what was read. The end of the data is passed on, unless the
// direction is silent.
func (l *link) write(d Direction, queue <-chan chunk) {
	target := l.ends[d]
	failed := false
	for c := range queue {
		if failed || l.silent[d].Load() {
			continue
		}
		l.pause(d, c)
		if _, err := target.Write(c.data); err != nil {
			failed = true
			l.reset()
		}
	}
	if !l.silent[d].Load() {
		target.CloseWrite()
	}
}

func (l *link) pause(d Direction, c chunk) {
	time.Sleep(time.Until(c.due))
	_, limiter := l.relay.now(d)
	if limiter != nil {
		// An error means that the relay is closing; the write then fails too.
		_ = limiter.WaitN(l.relay.ctx, len(c.data))
	}
}
