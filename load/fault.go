package load

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Fault is what an endpoint does wrong with one request.
type Fault string

// The faults of an endpoint.
const (
	FaultNone         Fault = ""
	FaultRefuse       Fault = "refuse"    // closes after reading, without running
	FaultDrop         Fault = "drop"      // runs and closes without an answer
	FaultCutBody      Fault = "cut"       // ends in the middle of the body
	FaultCutHeader    Fault = "header"    // ends in the middle of the header
	FaultShort        Fault = "short"     // sends less than the length says and stays open
	FaultLong         Fault = "long"      // sends a little more than the length says
	FaultUnterminated Fault = "no-end"    // sends neither length nor end marker
	FaultDuplicate    Fault = "twice"     // sends the answer twice
	FaultEndlessBody  Fault = "forever"   // never ends the body
	FaultDelay        Fault = "late"      // answers after a long time
	FaultSilent       Fault = "silent"    // runs and never answers
	FaultLeaving      Fault = "leave"     // 503 and Connection: close, without running
	FaultError        Fault = "error"     // 502 without running
	FaultErrorRun     Fault = "error-run" // runs and answers 504
)

// Faults lists all faults.
var Faults = []Fault{
	FaultRefuse, FaultDrop, FaultCutBody, FaultCutHeader, FaultShort, FaultLong, FaultUnterminated, FaultDuplicate,
	FaultEndlessBody, FaultDelay, FaultSilent, FaultLeaving, FaultError, FaultErrorRun,
}

// Runs reports whether the request runs in spite of the fault.
func (f Fault) Runs() bool {
	switch f {
	case FaultRefuse, FaultLeaving, FaultError:
		return false
	}
	return true
}

const (
	lateness = 2 * time.Second
	maxLong  = 2000 // bytes of an answer that is longer than it says
)

// answerWrong writes what the fault makes of the answer.
func (e *Endpoint) answerWrong(w http.ResponseWriter, fault Fault, header http.Header, body []byte) {
	switch fault {
	case FaultLeaving:
		w.Header().Set("Connection", "close")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	case FaultError:
		http.Error(w, "error", http.StatusBadGateway)
		return
	case FaultErrorRun:
		http.Error(w, "error", http.StatusGatewayTimeout)
		return
	}
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	buffer.Flush()
	e.writeRaw(conn, fault, header, body)
}

func (e *Endpoint) writeRaw(conn net.Conn, fault Fault, header http.Header, body []byte) {
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	header.Write(&head)
	length := func(n int) string { return "Content-Length: " + strconv.Itoa(n) + "\r\n\r\n" }
	half := body[:len(body)/2]
	switch fault {
	case FaultCutBody:
		fmt.Fprint(conn, head.String(), length(len(body)), string(half))
	case FaultCutHeader:
		fmt.Fprint(conn, head.String(), "Content-Le")
	case FaultShort:
		fmt.Fprint(conn, head.String(), length(len(body)), string(half))
		e.waitGone(conn)
	case FaultLong:
		short := body[:min(len(body), maxLong)]
		fmt.Fprint(conn, head.String(), length(len(short)/2), string(short))
		e.waitGone(conn)
	case FaultUnterminated:
		fmt.Fprint(conn, head.String(), "Connection: close\r\n\r\n", string(half))
	case FaultDuplicate:
		whole := head.String() + length(len(body)) + string(body)
		fmt.Fprint(conn, whole+whole)
		e.waitGone(conn)
	case FaultEndlessBody:
		fmt.Fprint(conn, head.String(), "Transfer-Encoding: chunked\r\n\r\n")
		e.writeForever(conn, body)
	case FaultSilent:
		e.waitGone(conn)
	}
}

func (e *Endpoint) writeForever(conn net.Conn, body []byte) {
	piece := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	for {
		if _, err := fmt.Fprint(conn, piece); err != nil {
			return
		}
		if !e.pause(10 * time.Millisecond) {
			return
		}
	}
}

// waitGone waits until the peer closes the connection or the endpoint ends.
func (e *Endpoint) waitGone(conn net.Conn) {
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		var b [256]byte
		for {
			if _, err := conn.Read(b[:]); err != nil {
				return
			}
		}
	}()
	select {
	case <-stop:
	case <-e.current.Load().done:
		conn.Close()
		<-stop
	}
}
