package faultnet

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo returns the address of a server that sends back what it reads.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return l.Addr().String()
}

// ask sends a word and reads it back within the time given.
func ask(conn net.Conn, limit time.Duration) error {
	conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, "word"); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 4))
	return err
}

func TestRelay(t *testing.T) {
	const short, long = 100 * time.Millisecond, 10 * time.Second
	Convey("A relay to an echo server", t, func() {
		r, err := New(echo(t))
		So(err, ShouldBeNil)
		Reset(r.Close)
		dial := func() net.Conn {
			conn, err := net.Dial("tcp", r.Addr())
			So(err, ShouldBeNil)
			Reset(func() { conn.Close() })
			return conn
		}
		conn := dial()
		So(ask(conn, long), ShouldBeNil)

		Convey("refuses new connections and takes them again, while old ones go on", func() {
			So(r.Set(Condition{Refuse: true}), ShouldBeNil)
			_, err := net.Dial("tcp", r.Addr())
			So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
			So(ask(conn, long), ShouldBeNil)
			So(r.Set(Condition{}), ShouldBeNil)
			So(ask(dial(), long), ShouldBeNil)
		})
		Convey("cuts open connections", func() {
			r.ResetConnections()
			err := ask(conn, long)
			So(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, syscall.EPIPE), ShouldBeTrue)
		})
		Convey("silences open connections for good while new ones work", func() {
			r.SilenceConnections()
			So(errors.Is(ask(conn, short), os.ErrDeadlineExceeded), ShouldBeTrue)
			So(ask(dial(), long), ShouldBeNil)
			So(errors.Is(ask(conn, short), os.ErrDeadlineExceeded), ShouldBeTrue)
		})
		Convey("drops bytes in one direction", func() {
			So(r.Set(Condition{Silent: [directions]bool{ToCaller: true}}), ShouldBeNil)
			So(errors.Is(ask(conn, short), os.ErrDeadlineExceeded), ShouldBeTrue)
		})
		Convey("delays and limits the rate", func() {
			So(r.Set(Condition{Delay: 50 * time.Millisecond}), ShouldBeNil)
			begin := time.Now()
			So(ask(conn, long), ShouldBeNil)
			So(time.Since(begin), ShouldBeGreaterThanOrEqualTo, 100*time.Millisecond)
			So(r.Set(Condition{BytesPerSecond: 16 << 10}), ShouldBeNil)
			begin = time.Now()
			go conn.Write(make([]byte, 20<<10))
			io.ReadFull(conn, make([]byte, 20<<10))
			So(time.Since(begin), ShouldBeGreaterThanOrEqualTo, 200*time.Millisecond)
		})
	})
}
