// Package loopback finds free ports for daemons that are told their addresses
// before they start.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// The range of ports. It lies below the one from which the system takes the
// ports of outgoing connections, so that none of these takes a port between
// its reservation and its use.
const (
	firstPort = 15000
	ports     = 15000
)

var errNoPort = errors.New("no free loopback port")

// next is where the search for the next port begins; each process begins
// elsewhere and gives out each port once in a round.
var next atomic.Uint32

func init() { next.Store(rand.Uint32N(ports)) }

// Addresses returns n free addresses, "127.0.0.1:port".
func Addresses(n int) ([]string, error) {
	var out []string
	for range ports {
		if len(out) == n {
			return out, nil
		}
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+next.Add(1)%ports)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		out = append(out, addr)
	}
	return nil, errNoPort
}
