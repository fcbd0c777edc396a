package answer

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyEndToEnd adds the end-to-end headers of src to dst; values are shared.
func CopyEndToEnd(dst, src http.Header) {
	named := src["Connection"]
	for name, values := range src {
		if isHop(name) || isNamed(named, name) {
			continue
		}
		dst[name] = values
	}
}

func isHop(name string) bool {
	for _, h := range hopHeaders {
		if h == name {
			return true
		}
	}
	return false
}

// isNamed reports whether a Connection header lists name.
func isNamed(connection []string, name string) bool {
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// Size returns the bytes of the header as sent.
func Size(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
