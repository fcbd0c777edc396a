package pool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	idHeader  = "Attempt"
	requestID = "7"
)

func exchange() *Exchange {
	r := httptest.NewRequest(http.MethodGet, "http://a/b", nil)
	return &Exchange{
		Request: r, RequestID: requestID, IDHeader: idHeader, Deadline: time.Now().Add(time.Second),
		HeaderBytes: 4 << 10, BufferBytes: 1 << 10,
	}
}

// serveOnce answers the first request of each connection with raw bytes and
// then closes it.
func serveOnce(l net.Listener, raw []byte) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				c.Write(raw)
			}
		}()
	}
}

func exchangeOnce(raw []byte) (*Response, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	go serveOnce(l, raw)
	p := New(l.Addr().String(), 1)
	a, err := p.Do(context.Background(), exchange())
	if err == nil && a.Rest != nil {
		defer a.Rest.Close()
	}
	p.Retire()
	return a, err
}

func TestAnswers(t *testing.T) {
	Convey("Answers that are not whole or not of this request are faults", t, func() {
		for raw, fault := range map[string]Fault{
			"HTTP/1.1 200 OK\r\nAttempt: 8\r\nContent-Length: 1\r\n\r\na":                    FaultMalformed,
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na":                                  FaultCut,
			"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab":                                 FaultMalformed,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n":                FaultCut,
			"HTTP/1.1 200 OK\r\n\r\na":                                                       FaultMalformed,
			"HTTP/1.1 101 Switching Protocols\r\n\r\n":                                       FaultMalformed,
			"HTTP/1.1 200 OK\r\nX: " + string(bytes.Repeat([]byte("x"), 8<<10)) + "\r\n\r\n": FaultMalformed,
			"": FaultCut,
		} {
			_, err := exchangeOnce([]byte(raw))
			var e *Error
			So(errors.As(err, &e), ShouldBeTrue)
			So(e.Fault, ShouldEqual, fault)
			So(e.Written, ShouldBeTrue)
		}
	})
	Convey("Informational answers are passed over", t, func() {
		a, err := exchangeOnce([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nAttempt: 7\r\nContent-Length: 1\r\n\r\na"))
		So(err, ShouldBeNil)
		So(string(a.Body), ShouldEqual, "a")
	})
	Convey("Without a connection nothing was written", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		l.Close()
		_, err = New(l.Addr().String(), 1).Do(context.Background(), exchange())
		var e *Error
		So(errors.As(err, &e), ShouldBeTrue)
		So(e.Fault, ShouldEqual, FaultConnect)
		So(e.Written, ShouldBeFalse)
	})
}

// FuzzAnswer checks that whatever an endpoint sends, a whole answer is what
// net/http reads from the same bytes, with an end and nothing after it.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, err := exchangeOnce(raw)
		if err != nil || a.Rest != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(raw))
		for {
			resp, err := http.ReadResponse(reader, exchange().Request)
			if err != nil {
				t.Fatalf("answer %d read from %q, but %v", a.Status, raw, err)
			}
			if resp.StatusCode < http.StatusOK {
				continue
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != a.Status || !bytes.Equal(body, a.Body) {
				t.Fatalf("answer %d %q read from %q, want %d %q, %v", a.Status, a.Body, raw, resp.StatusCode, body, err)
			}
			return
		}
	})
}
