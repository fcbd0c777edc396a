package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// The crowd is larger than the number of descriptors of the machine.
const (
	crowdSize   = 600
	attempts    = 3 // connections that a client opens, if they are closed before it has sent all
	dialTimeout = 10 * time.Second
	sendTimeout = 10 * time.Second // of a piece, to a process that does not read
)

// Limits of the configuration in the tests; those that the platform's documentation shows.
const (
	maxHeaderBytes = 16384
	maxBodyBytes   = 262144
	endless        = 4 << 20 // bytes that stand for a transfer without end
)

// client returns the pieces that the n-th client of a crowd sends in its attempt.
type client func(n, attempt int) [][]byte

// crowd is a number of clients that stay connected after they have sent all.
type crowd struct {
	leave   chan struct{}
	done    sync.WaitGroup
	address string
}

// connect starts a crowd and returns when each client has sent all that it can.
func connect(address string, c client) *crowd {
	w := &crowd{leave: make(chan struct{}), address: address}
	var sent sync.WaitGroup
	for n := range crowdSize {
		sent.Add(1)
		w.done.Go(func() {
			conn := w.send(c, n)
			sent.Done()
			if conn != nil {
				<-w.leave
				conn.Close()
			}
		})
	}
	sent.Wait()
	return w
}

// send returns the connection on which the n-th client has sent all, or nil.
func (w *crowd) send(c client, n int) net.Conn {
	for attempt := range attempts {
		conn, err := net.DialTimeout("tcp", w.address, dialTimeout)
		if err != nil {
			continue
		}
		go io.Copy(io.Discard, conn) // ends with the connection
		for _, piece := range c(n, attempt) {
			conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			if _, err = conn.Write(piece); err != nil {
				break
			}
		}
		if err == nil {
			return conn
		}
		conn.Close()
	}
	return nil
}

func (w *crowd) disperse() {
	close(w.leave)
	w.done.Wait()
}

// submissionID returns an ID that no other client, attempt or request has.
func submissionID(n, attempt, request int) string {
	return fmt.Sprintf("%08x%04x%04x", n+1, attempt, request)
}

func head(id string, fields string) string {
	return "POST /q/" + id + " HTTP/1.1\r\nHost: h.example\r\n" + fields + "\r\n"
}

func withLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// Header lines of a legal total size.
var headerLines = []string{
	distinctLines("%03x:\r\n"),
	distinctLines("X!%03x:\r\n"),   // odd names
	distinctLines("x-%03x: 1\r\n"), // names in another form than the canonical one
	strings.Repeat("a:\r\n", (maxHeaderBytes-200)/4),
}

func distinctLines(format string) string {
	var b strings.Builder
	for i := 0; b.Len() < maxHeaderBytes-200; i++ {
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

// manyHeaderLines sends a legal header of very many lines, and all but one byte of the body.
func manyHeaderLines(n, attempt int) [][]byte {
	lines := headerLines[n%len(headerLines)]
	return [][]byte{[]byte(head(submissionID(n, attempt, 0), lines+withLength(100)) + strings.Repeat(" ", 99))}
}

// manyHeaderLinesWhole sends whole requests with legal headers, one after the other without
// waiting for the answers.
func manyHeaderLinesWhole(n, attempt int) (pieces [][]byte) {
	const requests = 20
	lines := headerLines[n%len(headerLines)]
	for i := range requests {
		pieces = append(pieces, []byte(strings.Replace(head(submissionID(n, attempt, i), lines), "POST", "GET", 1)))
	}
	return pieces
}

// Transfers without end, which all clients share.
var (
	endlessLetters    = bytes.Repeat([]byte("a"), endless)
	endlessLines      = bytes.Repeat([]byte("a:\r\n"), endless/4)
	endlessEmptyLines = bytes.Repeat([]byte("\r\n"), endless/2)
	endlessNewlines   = bytes.Repeat([]byte("\n"), endless)
	endlessArrays     = bytes.Repeat([]byte{0x9a, 0, 1, 0, 0}, endless/5)
	endlessZeros      = make([]byte, endless)
)

// headerWithoutEnd sends a header of one line, or of short lines, that does not end.
func headerWithoutEnd(n, attempt int) [][]byte {
	start := []byte("GET /q/ HTTP/1.1\r\nHost: h.example\r\n")
	if n%3 == 0 {
		return [][]byte{[]byte("GET /q/"), endlessLetters}
	}
	if n%3 == 1 {
		return [][]byte{start, []byte("X: "), endlessLetters}
	}
	return [][]byte{start, endlessLines}
}

// emptyLinesWithoutEnd sends empty lines in place of a request, or after one.
func emptyLinesWithoutEnd(n, attempt int) [][]byte {
	switch n % 3 {
	case 0:
		return [][]byte{endlessEmptyLines}
	case 1:
		return [][]byte{endlessNewlines}
	}
	return [][]byte{[]byte(head(submissionID(n, attempt, 0), withLength(2)) + "{}"), endlessEmptyLines}
}

// body returns n bytes of JSON that repeat a text between a start and an end.
func body(n int, start, repeated, end string) string {
	text := start + strings.Repeat(repeated, (n-len(start)-len(end))/len(repeated)) + end
	return text + strings.Repeat(" ", n-len(text))
}

var largeBody = body(maxBodyBytes, `{"steps":[{"count":1,"cpu":500,"memMb":100}],"spec":"`, "x", `"}`)

// largeBodies sends whole bodies of the largest legal size, one after the other.
func largeBodies(n, attempt int) (pieces [][]byte) {
	const requests = 4
	for i := range requests {
		pieces = append(pieces, []byte(head(submissionID(n, attempt, i), withLength(len(largeBody)))+largeBody))
	}
	return pieces
}

// unfinishedBodies sends a large body but for its last byte, whole or in pieces.
func unfinishedBodies(n, attempt int) [][]byte {
	const pieceBytes = 8192
	id := submissionID(n, attempt, 0)
	text := []byte(largeBody[:maxBodyBytes-1])
	if n%3 == 0 {
		return [][]byte{[]byte(head(id, withLength(maxBodyBytes))), text}
	}
	pieces := [][]byte{[]byte(head(id, withLength(maxBodyBytes)))}
	chunked := n%3 == 1
	if chunked {
		pieces = [][]byte{[]byte(head(id, "Transfer-Encoding: chunked\r\n"))}
	}
	for start := 0; start < len(text); start += pieceBytes {
		piece := text[start:min(start+pieceBytes, len(text))]
		if chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		pieces = append(pieces, piece)
	}
	return pieces
}

// Bodies that are much larger once they are decoded.
var expanding = []string{
	body(maxBodyBytes, `{"steps":[{}`, `,{}`, `]}`),
	body(maxBodyBytes, `{"steps":[{"count":1,"dependsOn":[0`, `,0`, `]}]}`),
	body(maxBodyBytes, `{"steps":[{"dependsOn":[]}`, `,{"dependsOn":[-1,-1]}`, `]}`),
	body(maxBodyBytes, `{"steps":[{}],"a":`, `[`, ``),
	body(maxBodyBytes, `{"steps":[{"count":1}],"steps":[{}`, `],"steps":[{}`, `]}`),
}

// expandingBodies sends whole bodies that are much larger once they are decoded.
func expandingBodies(n, attempt int) (pieces [][]byte) {
	const requests = 2
	for i := range requests {
		text := expanding[(n+i)%len(expanding)]
		pieces = append(pieces, []byte(head(submissionID(n, attempt, i), withLength(len(text)))+text))
	}
	return pieces
}

// stepsBody is a legal submission with as many steps as there may be tasks.
var stepsBody = `{"spec":"x","steps":[{"count":1,"cpu":1,"memMb":1}` + strings.Repeat(`,{"count":1}`, 9_999) + `]}`

// largeSubmissions sends legal submissions with as many steps as there may be tasks.
func largeSubmissions(n, attempt int) [][]byte {
	return [][]byte{[]byte(head(submissionID(n, attempt, 0), withLength(len(stepsBody))) + stepsBody)}
}

// manyTasks sends small legal submissions with as many tasks as there may be.
func manyTasks(n, attempt int) [][]byte {
	const text = `{"spec":"x","steps":[{"count":10000,"cpu":1,"memMb":1}]}`
	return [][]byte{[]byte(head(submissionID(n, attempt, 0), withLength(len(text))) + text)}
}

// silent opens a connection and sends nothing.
func silent(n, attempt int) [][]byte { return nil }

// endlessMessage sends a CBOR byte string without end, or arrays without end, in place of
// the messages of a peer.
func endlessMessage(n, attempt int) [][]byte {
	if n%2 == 0 {
		return [][]byte{{0x5b, 0, 0, 1, 0, 0, 0, 0, 0}, endlessZeros}
	}
	return [][]byte{endlessArrays}
}
