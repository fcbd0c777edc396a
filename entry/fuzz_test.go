package entry

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"
)

// FuzzMayHoldLength checks that no chunked request with a Content-Length line
// in its own header passes, whatever its body looks like.
func FuzzMayHoldLength(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\ncontent-length:1\r\n\r\nPOST /a HTTP/1.1\r\n\r\n")
	f.Add("POST /a HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\nContent-Length: 1\n\n")
	f.Add("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil || len(r.TransferEncoding) == 0 {
			return
		}
		line := r.Method + " " + r.RequestURI + " " + r.Proto
		header, _, _ := strings.Cut(strings.ReplaceAll(raw, "\r\n", "\n"), "\n\n")
		named := strings.Contains(strings.ToLower(header), "\ncontent-length:")
		if named && !mayHaveContentLength([]byte(raw), []byte(line)) {
			t.Fatalf("a Content-Length beside chunked was not seen in %q", raw)
		}
	})
}

// FuzzDeadline checks that a deadline from a caller is positive and bounded, or
// refused.
func FuzzDeadline(f *testing.F) {
	for _, s := range []string{"", "1", "0", "-1", "9223372036854775807", "1e3", " 5"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, header string) {
		d, problem := parseDeadline(header, time.Second)
		if problem == nil && (d <= 0 || d > maxDeadline) {
			t.Fatalf("deadline %q became %v", header, d)
		}
	})
}

// FuzzNamesContentLength checks the parser of header lines on any bytes.
func FuzzNamesContentLength(f *testing.F) {
	f.Add([]byte("\r\nContent-Length : 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, header []byte) {
		if hasContentLength(header) && !bytes.Contains(bytes.ToLower(header), []byte("content-length")) {
			t.Fatalf("found a length in %q", header)
		}
	})
}
