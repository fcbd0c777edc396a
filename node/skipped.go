package node

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/provider"
)

const (
	// maxSkippedLines is the maximum number of lines logged about skipped records of one
	// topic in skippedInterval.
	maxSkippedLines  = 5
	skippedInterval  = 10 * time.Second
	maxReasonInBytes = 400 // of a logged reason
)

// skippedRecords counts and logs the records that this VM has read and can't use. Others
// of the same read are applied. It is safe for concurrent use.
type skippedRecords struct {
	log logr.Logger
	set *metrics.Set

	mu     sync.Mutex
	topics map[string]*skippedWindow
}

// skippedWindow is the current skippedInterval of one topic.
type skippedWindow struct {
	start           time.Duration // boot time
	lines, withheld int
}

func newSkippedRecords(log logr.Logger, set *metrics.Set) *skippedRecords {
	return &skippedRecords{log: log, set: set, topics: map[string]*skippedWindow{}}
}

// add counts a record of a topic and logs the reason for which it is skipped.
func (s *skippedRecords) add(topic string, r provider.KeyedRecord, reason error) {
	s.addAt(topic, r, reason, boottime.Now())
}

func (s *skippedRecords) addAt(topic string, r provider.KeyedRecord, reason error, now time.Duration) {
	s.set.GetOrCreateCounter(fmt.Sprintf("peridotlock_records_skipped_total{topic=%q}", topic)).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.topics[topic]
	if !ok {
		w = &skippedWindow{start: now}
		s.topics[topic] = w
	}
	suppressed := 0
	if now-w.start >= skippedInterval {
		suppressed = w.withheld
		*w = skippedWindow{start: now}
	}
	if w.lines >= maxSkippedLines {
		w.withheld++
		return
	}
	w.lines++
	text := reason.Error()
	s.log.Info("record skipped", "topic", topic, "key", r.Key, "offset", r.Offset, "reason", text[:min(len(text), maxReasonInBytes)], "suppressed", suppressed)
}
