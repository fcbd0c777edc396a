package membership

import (
	"context"
	"sync"
	"time"
)

// ServiceName is the name of the net/rpc service.
const ServiceName = "Membership"

// ProbeArgs is a health probe of a peer.
type ProbeArgs struct {
	From    string   `cbor:"1,keyasint"`
	Updates []Update `cbor:"2,keyasint,omitempty"`
	Digest  uint64   `cbor:"3,keyasint"` // Table.Digest of the sender
}

// ProbeReply is the response to a probe.
type ProbeReply struct {
	Updates []Update `cbor:"1,keyasint,omitempty"`
}

// ConfirmArgs asks the peer to probe a third member.
type ConfirmArgs struct {
	From   string `cbor:"1,keyasint"`
	Target Update `cbor:"2,keyasint"`
}

// ConfirmReply reports whether the third member responded.
type ConfirmReply struct {
	Answered bool     `cbor:"1,keyasint"`
	Updates  []Update `cbor:"2,keyasint"`
}

// Service answers the probes of peers. Register it under ServiceName.
type Service struct{ p *Prober }

// Probe answers a peer's probe.
func (s *Service) Probe(a ProbeArgs, r *ProbeReply) error {
	r.Updates = s.p.exchange(a.From, a.Updates)
	s.p.table.do(func(t *Table, _ time.Time) {
		if t.Digest() != a.Digest {
			r.Updates = append(r.Updates, t.Sync()...)
		}
	})
	return nil
}

// Confirm probes a third member on behalf of a peer.
func (s *Service) Confirm(a ConfirmArgs, r *ConfirmReply) error {
	r.Answered = s.p.probe(context.Background(), a.Target.ID, a.Target.Control) == nil
	r.Updates = s.p.exchange(a.From, nil)
	return nil
}

// lockedTable is a Table protected by a mutex.
type lockedTable struct {
	mu    sync.Mutex // protects table
	table *Table
}

func (g *lockedTable) do(fn func(t *Table, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn(g.table, time.Now())
}
