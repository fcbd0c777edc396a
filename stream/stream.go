// Package stream turns the platform's append-only log into agreed state: it
// appends records exactly once despite lost answers, feeds each record once to
// a deterministic machine, and keeps snapshots so that a newcomer need not
// read what retention has removed.
package stream

import (
	"context"

	"github.com/peridotlock/peridotlock/platform"
)

// Priority orders the records that wait for the append budget.
type Priority int

// The priorities; an urgent record never waits behind a background one.
const (
	Urgent Priority = iota
	Normal
	Background
)

// Entry is one record to append. ID is unique over all processes and time.
type Entry struct {
	ID       string
	Data     []byte
	Priority Priority
}

// Writer appends entries.
type Writer interface {
	// Append returns once the entry is known to be in the stream, with the
	// offset of its first occurrence. The error wraps platform.ErrUnavailable
	// when the entry is certainly absent and stays so, and platform.ErrInDoubt
	// when ctx ended before that could be found out.
	Append(ctx context.Context, stream string, e Entry) (platform.Offset, error)
}

// Machine interprets one stream. It is deterministic: all readers that applied
// the same records hold the same state. It has no clock and no goroutines.
type Machine interface {
	// Apply interprets one record. The follower removes repeated ids and
	// snapshot records beforehand, and calls in the order of offsets.
	Apply(r platform.Record)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot; on an error it leaves the
	// state as it is.
	Restore(data []byte) error
}

// The names of the streams.
const (
	SettingsStream  = "settings"
	OwnershipStream = "ownership"
	jobsPrefix      = "jobs-"
)

// JobsStream returns the name of the stream of the queue of the team at path.
// Slashes are replaced, since they separate the parts of a URL.
func JobsStream(team string) string {
	out := make([]byte, 0, len(jobsPrefix)+len(team))
	out = append(out, jobsPrefix...)
	for i := range len(team) {
		if team[i] == '/' {
			out = append(out, '.')
			continue
		}
		out = append(out, team[i])
	}
	return string(out)
}
