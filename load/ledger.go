// Package load drives entries with requests and small built-in endpoints, and
// checks every answer against a ledger that the endpoints keep.
package load

import (
	"encoding/binary"
	"encoding/hex"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// IDHeader carries the request id of the generator.
const IDHeader = "Load-Request-Id"

const ledgerShards = 64

// Ledger counts the runs of each request at the endpoints.
type Ledger struct{ shards [ledgerShards]shard }

type shard struct {
	mu   sync.Mutex // protects runs
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	l := &Ledger{}
	for i := range l.shards {
		l.shards[i].runs = make(map[string]int)
	}
	return l
}

// Run records a run of the request id and returns how many there were before.
func (l *Ledger) Run(id string) int {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	return s.runs[id] - 1
}

// Runs returns how often the request ran.
func (l *Ledger) Runs(id string) int {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (l *Ledger) shard(id string) *shard { return &l.shards[xxhash.Sum64String(id)%ledgerShards] }

// Body returns the answer of size bytes that belongs to a request and its
// body. No other request has it.
func Body(id string, request []byte, size int) []byte {
	digest := xxhash.New()
	digest.WriteString(id)
	digest.Write(request)
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], digest.Sum64())
	head := id + " " + hex.EncodeToString(sum[:]) + "\n"
	body := make([]byte, max(size, len(head)))
	for i := range body {
		body[i] = head[i%len(head)]
	}
	return body
}
