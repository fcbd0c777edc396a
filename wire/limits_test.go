package wire

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// counter counts the calls that run at the same time.
type counter struct{ running, most atomic.Int64 }

func (c *counter) Wait(a EchoArgs, r *EchoReply) error {
	n := c.running.Add(1)
	defer c.running.Add(-1)
	for most := c.most.Load(); n > most && !c.most.CompareAndSwap(most, n); most = c.most.Load() {
	}
	time.Sleep(5 * time.Millisecond)
	return nil
}

func TestServerLimits(t *testing.T) {
	Convey("Given a server with limits", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		server, service := NewServer(), &counter{}
		server.MaxRequestBytes, server.MaxInFlight = 1000, 3
		So(server.Register("Counter", service), ShouldBeNil)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go server.Serve(ctx, l)
		client := NewClient(l.Addr().String())
		Reset(func() { client.Close(); cancel() })

		Convey("all calls are answered, with so many at a time", func() {
			var calls sync.WaitGroup
			var failed atomic.Int64
			for range 50 {
				calls.Go(func() {
					if client.Call(ctx, "Counter.Wait", EchoArgs{strings.Repeat("x", 500)}, &EchoReply{}) != nil {
						failed.Add(1)
					}
				})
			}
			calls.Wait()
			So(failed.Load(), ShouldEqual, 0)
			So(service.most.Load(), ShouldBeBetweenOrEqual, 1, 3)
		})
		Convey("a request that is too large ends its connection", func() {
			So(client.Call(ctx, "Counter.Wait", EchoArgs{strings.Repeat("x", 5000)}, &EchoReply{}), ShouldNotBeNil)
			other := NewClient(l.Addr().String())
			defer other.Close()
			So(other.Call(ctx, "Counter.Wait", EchoArgs{"x"}, &EchoReply{}), ShouldBeNil)
		})
	})
}
