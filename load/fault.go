package load

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Fault is the fault that an endpoint applies to one request.
type Fault string

// The faults of an endpoint.
const (
	FaultNone         Fault = ""
	FaultRefuse       Fault = "refuse"    // reads the request, then closes without running it
	FaultDrop         Fault = "drop"      // runs, then closes without an answer
	FaultCutBody      Fault = "cut"       // closes in the middle of the body
	FaultCutHeader    Fault = "header"    // closes in the middle of the header
	FaultShort        Fault = "short"     // sends less than Content-Length and stays open
	FaultLong         Fault = "long"      // sends more than Content-Length
	FaultUnterminated Fault = "no-end"    // sends half the body without a length, then closes
	FaultDuplicate    Fault = "twice"     // sends the answer twice
	FaultEndlessBody  Fault = "forever"   // sends a chunked body without end
	FaultDelay        Fault = "late"      // answers after delayFaultTime
	FaultSilent       Fault = "silent"    // runs, but never answers and stays open
	FaultLeaving      Fault = "leave"     // sends 503 and Connection: close, without running
	FaultError        Fault = "error"     // sends 502 without running
	FaultErrorRun     Fault = "error-run" // runs, then sends 504
)

// Faults lists all faults except FaultNone.
var Faults = []Fault{
	FaultRefuse, FaultDrop, FaultCutBody, FaultCutHeader, FaultShort, FaultLong, FaultUnterminated, FaultDuplicate,
	FaultEndlessBody, FaultDelay, FaultSilent, FaultLeaving, FaultError, FaultErrorRun,
}

// Runs reports whether the endpoint runs the request in spite of the fault.
func (f Fault) Runs() bool {
	switch f {
	case FaultRefuse, FaultLeaving, FaultError:
		return false
	}
	return true
}

const (
	delayFaultTime = 2 * time.Second
	maxLongBytes   = 2000 // maximum number of body bytes that FaultLong sends
)

// writeFault writes the answer as the fault changes it.
func (e *Endpoint) writeFault(w http.ResponseWriter, fault Fault, header http.Header, body []byte) {
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
		e.waitClosed(conn)
	case FaultLong:
		short := body[:min(len(body), maxLongBytes)]
		fmt.Fprint(conn, head.String(), length(len(short)/2), string(short))
		e.waitClosed(conn)
	case FaultUnterminated:
		fmt.Fprint(conn, head.String(), "Connection: close\r\n\r\n", string(half))
	case FaultDuplicate:
		whole := head.String() + length(len(body)) + string(body)
		fmt.Fprint(conn, whole+whole)
		e.waitClosed(conn)
	case FaultEndlessBody:
		fmt.Fprint(conn, head.String(), "Transfer-Encoding: chunked\r\n\r\n")
		e.writeForever(conn, body)
	case FaultSilent:
		e.waitClosed(conn)
	}
}

func (e *Endpoint) writeForever(conn net.Conn, body []byte) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	for {
		if _, err := fmt.Fprint(conn, chunk); err != nil {
			return
		}
		if !e.pause(10 * time.Millisecond) {
			return
		}
	}
}

// waitClosed waits until the peer closes the connection or the endpoint stops. It
// closes the connection if the endpoint stops.
func (e *Endpoint) waitClosed(conn net.Conn) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		var b [256]byte
		for {
			if _, err := conn.Read(b[:]); err != nil {
				return
			}
		}
	}()
	select {
	case <-closed:
	case <-e.current.Load().done:
		conn.Close()
		<-closed
	}
}
