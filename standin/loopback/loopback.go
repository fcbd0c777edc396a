// Package loopback finds free loopback ports for daemons that need their
// addresses before they start.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// The range of ports lies below the ephemeral port range of the system, so that
// no outgoing connection takes a port between its reservation and its use.
const (
	firstPort = 15000
	portCount = 15000
)

var errPortsExhausted = errors.New("not enough free loopback ports")

// next is the offset of the last port tried. It starts at random, so that
// processes start in different places, and wraps around: a port is offered again
// only after all others.
var next atomic.Uint32

func init() { next.Store(rand.Uint32N(portCount)) }

// Addresses returns n free addresses, "127.0.0.1:port". It returns
// an error if it finds fewer.
func Addresses(n int) ([]string, error) {
	var out []string
	for range portCount {
		if len(out) == n {
			return out, nil
		}
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+next.Add(1)%portCount)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		out = append(out, addr)
	}
	return nil, errPortsExhausted
}
