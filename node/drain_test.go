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
		send := func(conn net.Conn, text string) {
			_, err := io.WriteString(conn, text)
			So(err, ShouldBeNil)
		}
		status := func(conn net.Conn) int {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return 0
			}
			io.Copy(io.Discard, response.Body)
			return response.StatusCode
		}
		dial := func() net.Conn { // a connection that was used before
			conn, err := net.Dial("tcp", v.callers)
			So(err, ShouldBeNil)
			So(conn.SetDeadline(time.Now().Add(20*time.Second)), ShouldBeNil)
			send(conn, first+rest)
			So(status(conn), ShouldEqual, http.StatusNotFound)
			return conn
		}
		begun, late, idle, silent := dial(), dial(), dial(), dial()
		send(begun, first)
		time.Sleep(50 * time.Millisecond)
		stopped := make(chan struct{})
		start := time.Now()
		go func() { v.stop(); close(stopped) }()
		served := start.Add(v.node.stopServeTime())

		time.Sleep(300 * time.Millisecond)
		send(begun, rest)
		So(status(begun), ShouldEqual, http.StatusNotFound)
		time.Sleep(time.Until(served.Add(-150 * time.Millisecond)))
		send(idle, first+rest) // a caller that has not heard of the stop
		So(status(idle), ShouldEqual, http.StatusNotFound)
		send(late, first)
		time.Sleep(time.Until(served.Add(300 * time.Millisecond)))
		send(late, rest)
		So(status(late), ShouldEqual, http.StatusNotFound)
		So(status(silent), ShouldEqual, 0)
		<-stopped
		So(time.Since(start), ShouldBeLessThan, v.node.stopServeTime()+closeReserve)
		_, err := net.Dial("tcp", v.callers)
		So(err, ShouldNotBeNil)
	})
}
