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

// Late answers at about the deadline of the test.
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
		Convey("an error of the peer keeps its words and the connection", func() {
			var r EchoReply
			err := client.Call(ctx, "Echo.Fail", EchoArgs{}, &r)
			var served rpc.ServerError
			So(errors.As(err, &served), ShouldBeTrue)
			So(client.Call(ctx, "Echo.Say", EchoArgs{"b"}, &r), ShouldBeNil)
		})
		Convey("a call past its deadline is unanswered and the next one works", func() {
			var r EchoReply
			So(client.Call(ctx, "Echo.Say", EchoArgs{"a"}, &r), ShouldBeNil) // connects
			short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
			defer stop()
			err := client.Call(short, "Echo.Hang", EchoArgs{}, &r)
			So(errors.Is(err, ErrUnanswered), ShouldBeTrue)
			So(client.Call(ctx, "Echo.Say", EchoArgs{"c"}, &r), ShouldBeNil)
		})
		Convey("an answer after the deadline is never written to the caller's reply", func() {
			short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
			defer stop()
			r := EchoReply{Text: "untouched"}
			err := client.Call(short, "Echo.Late", EchoArgs{"late"}, &r)
			So(errors.Is(err, ErrUnanswered), ShouldBeTrue)
			So(client.Call(ctx, "Echo.Late", EchoArgs{"next"}, &EchoReply{}), ShouldBeNil)
			So(r.Text, ShouldEqual, "untouched")
		})
		Convey("a closed port means not sent", func() {
			gone, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			addr := gone.Addr().String()
			gone.Close()
			err = NewClient(addr).Call(ctx, "Echo.Say", EchoArgs{}, &EchoReply{})
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		})
	})
}

func TestPoolDropsIdleClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool()
		old := p.Client("127.0.0.1:1")
		time.Sleep(idleLimit)
		if p.Client("127.0.0.1:2"); p.Len() != 1 {
			t.Fatalf("%d clients, want the new one only", p.Len())
		}
		if p.Client("127.0.0.1:1") == old {
			t.Fatal("the idle client was kept")
		}
	})
}
