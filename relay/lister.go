package relay

import (
	"context"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/wire"
)

const (
	listTimeout = time.Second
	maxListAge  = 10 * time.Second // of a peer's list; an older one is passed over
)

// Lister reads the list of VMs from the peer that reads it for the failure
// domain, and from the platform while that peer is silent or its list is old.
// It implements platform.VMList.
type Lister struct {
	platform platform.VMList
	pool     *wire.Pool
	reader   func() string

	mu   sync.Mutex // protects last and hash
	last platform.VMSnapshot
	hash uint64
}

// NewLister returns a lister. Reader returns the address of the peer to ask, or
// "" for the platform.
func NewLister(list platform.VMList, pool *wire.Pool, reader func() string) *Lister {
	return &Lister{platform: list, pool: pool, reader: reader}
}

// VMs implements platform.VMList.
func (l *Lister) VMs(ctx context.Context) (platform.VMSnapshot, error) {
	if addr := l.reader(); addr != "" {
		if list, ok := l.ask(ctx, addr); ok {
			return list, nil
		}
	}
	return l.platform.VMs(ctx)
}

// ask returns the peer's list, if it is known and not old.
func (l *Lister) ask(ctx context.Context, addr string) (platform.VMSnapshot, bool) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l.mu.Lock()
	args := ListArgs{Hash: l.hash}
	l.mu.Unlock()
	var reply ListReply
	if err := l.pool.Client(addr).Call(ctx, ServiceName+".List", args, &reply); err != nil {
		return platform.VMSnapshot{}, false
	}
	return l.take(args, reply)
}

func (l *Lister) take(args ListArgs, reply ListReply) (platform.VMSnapshot, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := time.Unix(0, reply.AsOf)
	if reply.VMs != nil {
		l.last, l.hash = platform.VMSnapshot{VMs: reply.VMs}, reply.Hash
	}
	if reply.Hash != l.hash || args.Hash != l.hash && reply.VMs == nil {
		return platform.VMSnapshot{}, false
	}
	l.last.AsOf = asOf
	return l.last, time.Since(asOf) <= maxListAge
}
