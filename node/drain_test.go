package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRequestsAroundStopAreAnswered guards against a stopping VM that closes connections on which a request has begun to
// arrive, as net/http takes them for idle until it has read a whole header.
func TestRequestsAroundStopAreAnswered(t *testing.T) {
	Convey("Given a VM that is about to stop and callers with open connections", t, func() {
		c := newStore(t, 1)
		v := c.startGraceful("vm-0")
		So(eventually(v.ready), ShouldBeTrue)
		const first, rest = "GET /q/" + id1 + " HTT", "P/1.1\r\nHost: x\r\n\r\n"
		dial := func() net.Conn {
			conn, err := net.Dial("tcp", v.callers)
			So(err, ShouldBeNil)
			So(conn.SetDeadline(time.Now().Add(20*time.Second)), ShouldBeNil)
			return conn
		}
		send := func(conn net.Conn, text string) {
			_, err := io.WriteString(conn, text)
			So(err, ShouldBeNil)
		}
		isAnswered := func(conn net.Conn) bool {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			return err == nil && response.StatusCode > 0
		}
		used, unused, silent := dial(), dial(), dial()
		opened := time.Now()
		send(used, first+rest)
		So(isAnswered(used), ShouldBeTrue)
		time.Sleep(5*time.Second - v.node.stopServeTime() + 500*time.Millisecond) // net/http takes new connections for idle after 5 s

		send(used, first)
		send(unused, first[:1])
		time.Sleep(50 * time.Millisecond)
		stopped := make(chan struct{})
		start := time.Now()
		go func() { v.stop(); close(stopped) }()
		time.Sleep(300 * time.Millisecond)
		send(used, rest)
		So(isAnswered(used), ShouldBeTrue)
		So(isAnswered(silent), ShouldBeFalse)

		time.Sleep(time.Until(start.Add(v.node.stopServeTime() + 300*time.Millisecond)))
		So(time.Since(opened), ShouldBeGreaterThan, 5*time.Second)
		send(unused, first[1:]+rest)
		So(isAnswered(unused), ShouldBeTrue)
		<-stopped
		So(time.Since(start), ShouldBeLessThan, v.node.stopServeTime()+closeReserve)
		_, err := net.Dial("tcp", v.callers)
		So(err, ShouldNotBeNil)
	})
}
