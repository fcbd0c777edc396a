package answer

import (
	"net/http"
	"strings"
)

// hopByHopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyEndToEnd adds the end-to-end headers of src to dst; values are shared.
func CopyEndToEnd(dst, src http.Header) {
	connection := src["Connection"]
	for name, values := range src {
		if isHopByHop(name) || isConnectionOption(connection, name) {
			continue
		}
		dst[name] = values
	}
}

func isHopByHop(name string) bool {
	for _, h := range hopByHopHeaders {
		if h == name {
			return true
		}
	}
	return false
}

// isConnectionOption reports whether a Connection header lists name.
func isConnectionOption(connection []string, name string) bool {
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// HeaderBytes returns the bytes of the header as sent.
func HeaderBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
