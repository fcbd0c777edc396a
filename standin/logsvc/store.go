// Package logsvc stands in for the platform's append-only log service.
package logsvc

import (
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/platform"
)

// maxBatchBytes bounds the data of one answer to a read.
const maxBatchBytes = 8 << 20

// Store holds all streams in memory.
type Store struct {
	retention time.Duration

	mu      sync.Mutex // protects streams
	streams map[string]*stream
}

// stream holds the retained records of one stream.
type stream struct {
	first   platform.Offset
	records []platform.Record
	grown   chan struct{} // closed at the next append
}

// NewStore returns a store that keeps records for the retention given.
func NewStore(retention time.Duration) *Store {
	return &Store{retention: retention, streams: make(map[string]*stream)}
}

// Append adds records next to each other and returns the offset of the first.
func (s *Store) Append(name string, records []platform.NewRecord, now time.Time) platform.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	first := st.end()
	for i, r := range records {
		st.records = append(st.records, platform.Record{Offset: first + platform.Offset(i), ID: r.ID, Time: now, Data: r.Data})
	}
	st.trim(now.Add(-s.retention))
	close(st.grown)
	st.grown = make(chan struct{})
	return first
}

// Read returns records from an offset on, and a channel that is closed at the
// next append. Trimmed says that the offset is older than the oldest record.
func (s *Store) Read(name string, from platform.Offset, max int, now time.Time) (b platform.Batch, trimmed bool, grown <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.trim(now.Add(-s.retention))
	b = platform.Batch{Records: []platform.Record{}, First: st.first, Next: from, End: st.end()}
	if from < st.first {
		return b, true, st.grown
	}
	size := 0
	for at := from; at < st.end() && len(b.Records) < max && size < maxBatchBytes; at++ {
		r := st.records[at-st.first]
		size += len(r.Data)
		b.Records = append(b.Records, r)
		b.Next = at + 1
	}
	return b, false, st.grown
}

// Trim removes all records before an offset, as when their time has passed.
func (s *Store) Trim(name string, before platform.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	for len(st.records) > 0 && st.first < before {
		st.drop()
	}
}

func (s *Store) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (st *stream) end() platform.Offset { return st.first + platform.Offset(len(st.records)) }

func (st *stream) trim(oldest time.Time) {
	for len(st.records) > 0 && st.records[0].Time.Before(oldest) {
		st.drop()
	}
}

func (st *stream) drop() {
	st.records = st.records[1:]
	st.first++
}
