package wire

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type EchoArgs struct{ Text string }
type EchoReply struct{ Text string }

type echo struct{ release chan struct{} }

func (e *echo) Say(a EchoArgs, r *EchoReply) error {
	r.Text = a.Text
	return nil
}

func (e *echo) Fail(a EchoArgs, r *EchoReply) error { return errors.New("no such rack") }

func (e *echo) Hang(a EchoArgs, r *EchoReply) error {
	<-e.release
	return nil
}

// Late answers at about the deadline that the tests set.
func (e *echo) Late(a EchoArgs, r *EchoReply) error {
	time.Sleep(20 * time.Millisecond)
	r.Text = a.Text
	return nil
}

func TestCall(t *testing.T) {
	Convey("Given a server on loopback", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		service := &echo{release: make(chan struct{})}
		server := NewServer()
		So(server.Register("Echo", service), ShouldBeNil)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, l) }()
		client := NewClient(l.Addr().String())
		Reset(func() {
			close(service.release)
			client.Close()
			cancel()
			<-served
		})

		Convey("a call returns the peer's answer", func() {
			var r EchoReply
			So(client.Call(ctx, "Echo.Say", EchoArgs{"a"}, &r), ShouldBeNil)
			So(r.Text, ShouldEqual, "a")
		})
		Convey("an error returned by the peer is an rpc.ServerError and leaves the connection usable", func() {
			var r EchoReply
			err := client.Call(ctx, "Echo.Fail", EchoArgs{}, &r)
			var served rpc.ServerError
			So(errors.As(err, &served), ShouldBeTrue)
			So(client.Call(ctx, "Echo.Say", EchoArgs{"b"}, &r), ShouldBeNil)
		})
		Convey("a call that exceeds its deadline fails with ErrUnanswered and the next call succeeds", func() {
			var r EchoReply
			So(client.Call(ctx, "Echo.Say", EchoArgs{"a"}, &r), ShouldBeNil) // connects
			short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
			defer stop()
			err := client.Call(short, "Echo.Hang", EchoArgs{}, &r)
			So(errors.Is(err, ErrUnanswered), ShouldBeTrue)
			So(client.Call(ctx, "Echo.Say", EchoArgs{"c"}, &r), ShouldBeNil)
		})
		// Handler and deadline both take 20 ms, so either may win: a response that
		// Call returns in time is a success, and one that it gave up on must not reach
		// the reply.
		Convey("an answer that arrives after the deadline is not written to the caller's reply", func() {
			short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
			defer stop()
			r := EchoReply{Text: "untouched"}
			err := client.Call(short, "Echo.Late", EchoArgs{"late"}, &r)
			want := "late"
			if err != nil {
				So(errors.Is(err, ErrUnanswered), ShouldBeTrue)
				want = "untouched"
			}
			So(r.Text, ShouldEqual, want)
			So(client.Call(ctx, "Echo.Late", EchoArgs{"next"}, &EchoReply{}), ShouldBeNil)
			So(r.Text, ShouldEqual, want)
		})
		Convey("a call to a closed port fails with ErrNotSent", func() {
			closed, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			addr := closed.Addr().String()
			closed.Close()
			err = NewClient(addr).Call(ctx, "Echo.Say", EchoArgs{}, &EchoReply{})
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		})
	})
}

func TestPoolDropsIdleClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool()
		old := pool.Client("127.0.0.1:1")
		time.Sleep(idleLimit)
		if pool.Client("127.0.0.1:2"); pool.Len() != 1 {
			t.Fatalf("%d clients in the pool, want only the new one", pool.Len())
		}
		if pool.Client("127.0.0.1:1") == old {
			t.Fatal("the pool returned the idle client again, want a new one")
		}
	})
}
