package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
)

const (
	maxWait    = 5 * time.Second // of any long poll
	maxRecords = 512             // of one answer
)

// Server holds what a scheduler relays. Register its Service under ServiceName.
type Server struct {
	age     func() time.Duration
	streams map[string]*stream.Replica

	mu      sync.Mutex // protects all below
	view    *settings.View
	vms     []platform.VM
	hash    uint64
	asOf    time.Time
	acks    map[ackKey]Ack
	changed chan struct{}
}

var errNoList = errors.New("no list of VMs is known yet")

type ackKey struct{ node, process string }

// NewServer returns a server of the replicas given. Age says how long ago the
// settings were last known to be the newest.
func NewServer(age func() time.Duration, replicas ...*stream.Replica) *Server {
	s := &Server{
		age:     age,
		streams: make(map[string]*stream.Replica),
		acks:    make(map[ackKey]Ack),
		changed: make(chan struct{}),
	}
	for _, r := range replicas {
		s.streams[r.Name()] = r
	}
	return s
}

// SetView publishes a view. One that is older than the present one is ignored.
func (s *Server) SetView(v *settings.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != nil && v.Revision <= s.view.Revision {
		return
	}
	s.view = v
	s.notify()
}

// SetVMs publishes the list of VMs. One that is older than the present one is
// ignored.
func (s *Server) SetVMs(list platform.VMSnapshot) error {
	if s.isKnown(list) {
		return nil
	}
	vms := slices.Clone(list.VMs)
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	data, err := cbor.Marshal(vms)
	if err != nil {
		return fmt.Errorf("list of VMs: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if list.AsOf.Before(s.asOf) {
		return nil
	}
	s.asOf = list.AsOf
	if hash := xxhash.Sum64(data); hash != s.hash {
		s.vms, s.hash = vms, hash
		s.notify()
	}
	return nil
}

// isKnown reports whether a list is no newer than the present one.
func (s *Server) isKnown(list platform.VMSnapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !list.AsOf.After(s.asOf)
}

func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Acknowledge notes that a process has a revision in force.
func (s *Server) Acknowledge(node, process string, revision platform.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acks[ackKey{node, process}] = Ack{Node: node, Process: process, Revision: revision, At: time.Now().UnixNano()}
}

// Acks returns the newest acknowledgement of each process, sorted.
func (s *Server) Acks() []Ack {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Ack, 0, len(s.acks))
	for _, a := range s.acks {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b Ack) int {
		return strings.Compare(a.Node+"\x00"+a.Process, b.Node+"\x00"+b.Process)
	})
	return out
}

// Service returns the net/rpc service.
func (s *Server) Service() *Service { return &Service{s} }

// Service is the net/rpc face of a Server.
type Service struct{ s *Server }

// Snapshot returns the settings and the list of VMs, as far as they differ from
// what the peer holds. It waits for a change.
func (v *Service) Snapshot(a SnapshotArgs, r *SnapshotReply) error {
	v.s.Acknowledge(a.Node, a.Process, a.Revision)
	ctx, cancel := context.WithTimeout(context.Background(), min(a.Wait, maxWait))
	defer cancel()
	for {
		changed := v.s.snapshot(a, r)
		if r.View != nil || r.VMs != nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			r.Age = v.s.age()
			return nil
		}
	}
}

func (s *Server) snapshot(a SnapshotArgs, r *SnapshotReply) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Age, r.VMsHash, r.Seen = s.age(), s.hash, -1
	if s.view != nil {
		r.Seen = s.view.Revision
		if s.view.Revision > a.Revision {
			r.View = s.view
		}
	}
	if s.hash != a.VMsHash {
		r.VMs = s.vms
	}
	return s.changed
}

// Stream returns the records of a stream, or a snapshot of it.
func (v *Service) Stream(a StreamArgs, r *StreamReply) error {
	replica, ok := v.s.streams[a.Stream]
	if !ok {
		return fmt.Errorf("stream %s is not relayed", a.Stream)
	}
	wait := min(a.Wait, maxWait)
	feed, err := replica.Serve(context.Background(), a.From, min(a.Max, maxRecords), wait)
	if err != nil {
		return err
	}
	*r = replyOf(feed)
	return nil
}

// List returns the list of VMs if it differs from what the peer holds.
func (v *Service) List(a ListArgs, r *ListReply) error {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	if v.s.asOf.IsZero() {
		return errNoList
	}
	r.AsOf, r.Hash = v.s.asOf.UnixNano(), v.s.hash
	if a.Hash != v.s.hash {
		r.VMs = v.s.vms
	}
	return nil
}

// Acks returns which revisions the processes at this scheduler have in force.
func (v *Service) Acks(_ AcksArgs, r *AcksReply) error {
	r.Acks = v.s.Acks()
	return nil
}
