// Package predecessor lets the new owner of a cell learn which leases earlier owners have granted.
//
// A VM that claims a cell stores a Record beside its claim, with the address of its Service and the name of its
// process. Each later owner reads the records of all VMs that may have leases in force, and asks them. The process that
// has granted the leases ends its term and lists them. Any other process at the address shows that the one that
// granted them has ended, and says since when at the latest. A VM that gives no answer may still renew its leases.
//
// A refused connection shows nothing: networks refuse connections to VMs that run on.
package predecessor

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/dispatch"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/wire"
)

// ServiceName is the net/rpc name of a Service.
const ServiceName = "Predecessor"

const (
	// keyPrefix is followed by the name of a VM.
	keyPrefix = "term:"
	// maxClockDrift is the fraction by which the steady clocks of two VMs may differ in speed.
	maxClockDrift = 0.02
	// serveTimeout bounds the time until an owner has ended its term.
	serveTimeout = 300 * time.Millisecond
)

// Record says that leases of a VM's terms may be in force. Its key names the VM, and a later claim of the VM replaces it.
type Record struct {
	Claim   string `cbor:"1,keyasint"`           // value of the claim that it was stored with
	Process string `cbor:"2,keyasint"`           // of the Service
	Address string `cbor:"3,keyasint,omitempty"` // of the Service, "IP:port"; empty if the VM has none
	// AfterUnknown is set if the claim before has no record: leases may be in force that no record covers.
	AfterUnknown bool `cbor:"4,keyasint,omitempty"`
}

// Encode returns the record of a VM as it is stored.
func (r Record) Encode(vm string) (provider.KeyedRecord, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return provider.KeyedRecord{}, fmt.Errorf("encode term record of VM %q: %w", vm, err)
	}
	return provider.KeyedRecord{Key: keyPrefix + vm, Value: value}, nil
}

// Deletion returns the record that deletes that of a VM.
func Deletion(vm string) provider.KeyedRecord { return provider.KeyedRecord{Key: keyPrefix + vm} }

// Records returns the records by VM. In place of one that can't be decoded it returns one without an address,
// after an unknown claim.
func Records(stored []provider.KeyedRecord) map[string]Record {
	records := map[string]Record{}
	for _, r := range stored {
		vm, ok := strings.CutPrefix(r.Key, keyPrefix)
		if !ok || len(r.Value) == 0 {
			continue
		}
		var record Record
		if err := cbor.Unmarshal(r.Value, &record); err != nil {
			record = Record{AfterUnknown: true}
		}
		records[vm] = record
	}
	return records
}

// Leases are those that a process has granted on the executors of a cell. Times are since boot.
type Leases struct {
	Until    map[provider.ExecutorID]time.Duration // ends, by executor
	AllUntil time.Duration                         // end of leases that it may have granted to any executor
}

// Add adds other leases.
func (l *Leases) Add(other Leases) {
	if l.Until == nil {
		l.Until = map[provider.ExecutorID]time.Duration{}
	}
	for id, end := range other.Until {
		l.Until[id] = max(l.Until[id], end)
	}
	l.AllUntil = max(l.AllUntil, other.AllUntil)
}

// Prune removes leases that ended before a time.
func (l *Leases) Prune(before time.Duration) {
	maps.DeleteFunc(l.Until, func(_ provider.ExecutorID, end time.Duration) bool { return end < before })
}

// Source knows the leases of one process.
type Source interface {
	// EndTerm ends the process's term of a cell if its fencing token is lower than fence, and returns the leases of
	// all its terms of the cell. It returns an error if a term goes on.
	EndTerm(ctx context.Context, cell int, fence int64) (Leases, error)
}

// Service answers new owners. It implements net/rpc methods.
type Service struct {
	process string
	started time.Duration
	source  Source
}

// NewService returns the service of a process that has started at a time since boot.
func NewService(process string, started time.Duration, source Source) *Service {
	return &Service{process: process, started: started, source: source}
}

// Args are the arguments of Service.Leases.
type Args struct {
	_       struct{} `cbor:",toarray"`
	Cell    int
	Process string // that has granted the leases
	Fence   int64  // fencing token of the new owner's term
}

// Lease is the lease of one executor.
type Lease struct {
	_        struct{} `cbor:",toarray"`
	Executor string
	LeftMs   int64
}

// Reply is the result of Service.Leases.
type Reply struct {
	_         struct{} `cbor:",toarray"`
	Process   string   // that answers
	AgeMs     int64    // time since its start
	Leases    []Lease  // of Process, if it is that of the arguments
	AllLeftMs int64
}

// Leases ends the term of this process and lists its leases, if the arguments name this process. In any case it says
// how old the process is.
func (s *Service) Leases(args Args, reply *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	reply.Process = s.process
	if args.Process == s.process {
		leases, err := s.source.EndTerm(ctx, args.Cell, args.Fence)
		if err != nil {
			return err
		}
		now := boottime.Now()
		for id, end := range leases.Until {
			if left := leftMs(end, now); left > 0 {
				reply.Leases = append(reply.Leases, Lease{Executor: string(id), LeftMs: left})
			}
		}
		reply.AllLeftMs = leftMs(leases.AllUntil, now)
	}
	reply.AgeMs = (boottime.Now() - s.started).Milliseconds()
	return nil
}

// leftMs returns the time from now to end, rounded up; 0 if end is over.
func leftMs(end, now time.Duration) int64 {
	if end <= now {
		return 0
	}
	return (end - now).Milliseconds() + 1
}

// Ask asks the VM of a record for its leases on the executors of a cell, as the owner whose term has a fencing token.
// IsRunning reports whether the process of the record has answered.
func Ask(ctx context.Context, client *wire.Client, record Record, cell int, fence int64) (o dispatch.EarlierOwner, isRunning bool, err error) {
	var reply Reply
	if err := client.Call(ctx, ServiceName+".Leases", Args{Cell: cell, Process: record.Process, Fence: fence}, &reply); err != nil {
		return dispatch.EarlierOwner{}, false, fmt.Errorf("ask for leases: %w", err)
	}
	return reply.earlierOwner(boottime.Now()), reply.Process == record.Process, nil
}

// earlierOwner converts a reply that arrived at a time since boot.
func (r Reply) earlierOwner(received time.Duration) dispatch.EarlierOwner {
	at := func(leftMs int64) time.Duration {
		return received + time.Duration(float64(leftMs)/(1-maxClockDrift)*float64(time.Millisecond))
	}
	o := dispatch.EarlierOwner{
		EndedBy: received - time.Duration(float64(r.AgeMs)/(1+maxClockDrift)*float64(time.Millisecond)),
		Leases:  make(map[provider.ExecutorID]time.Duration, len(r.Leases)),
	}
	for _, l := range r.Leases {
		o.Leases[provider.ExecutorID(l.Executor)] = at(l.LeftMs)
	}
	if r.AllLeftMs > 0 {
		o.AllUntil = at(r.AllLeftMs)
	}
	return o
}
