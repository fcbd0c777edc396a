// Package queue decides for the queue of one team: it interprets the records
// of the team's stream, orders the waiting tasks and explains why a task
// waits. It is pure but for Client; package queue/owner carries out what it
// decides.
package queue

import (
	"fmt"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
)

// Kind is the kind of a record.
type Kind uint8

// The kinds of record.
const (
	Opened        Kind = iota + 1 // a new owner took the queue; sets the term
	Submitted                     // a job
	Placed                        // an attempt may start on a VM
	Started                       // the attempt runs
	Evicted                       // the attempt is over, the task resumes from its checkpoint
	Released                      // the attempt never ran
	Finished                      // the attempt is over, the task is done
	Failed                        // the attempt is over, the task failed
	Cancelled                     // the job is to end
	Unschedulable                 // no VM could hold the job's tasks
)

// Record is one fact about the queue. Which members count depends on Kind.
type Record struct {
	Kind        Kind            `cbor:"1,keyasint"`
	Job         uint64          `cbor:"2,keyasint,omitempty"`
	Index       int             `cbor:"3,keyasint,omitempty"`
	Attempt     int             `cbor:"4,keyasint,omitempty"`
	VM          string          `cbor:"5,keyasint,omitempty"`
	Rack        fleet.Path      `cbor:"6,keyasint,omitempty"`
	RackTerm    platform.Offset `cbor:"7,keyasint,omitempty"`
	Checkpoint  string          `cbor:"8,keyasint,omitempty"`
	Reason      string          `cbor:"9,keyasint,omitempty"`
	Final       bool            `cbor:"10,keyasint,omitempty"` // Failed: no further attempt
	WorkerFault bool            `cbor:"11,keyasint,omitempty"` // Failed: not counted against the task
	Spec        *job.Spec       `cbor:"12,keyasint,omitempty"` // Submitted
}

// Batch is what one entry of the stream carries: records of one owner.
type Batch struct {
	Term    platform.Offset `cbor:"1,keyasint"` // of the owner's claim
	Records []Record        `cbor:"2,keyasint"`
}

// Encode returns the batch as the data of an entry.
func (b Batch) Encode() ([]byte, error) {
	data, err := cbor.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode queue records: %w", err)
	}
	return data, nil
}

// TaskRef names one task of the queue.
type TaskRef struct {
	Job   uint64
	Index int
}

// JobID returns the identifier of a job: the team's path and the number.
func JobID(team fleet.Path, number uint64) string {
	return string(team.Join("j" + strconv.FormatUint(number, 10)))
}

// TaskID returns the identifier of a task.
func TaskID(team fleet.Path, ref TaskRef) string {
	return JobID(team, ref.Job) + "/" + strconv.Itoa(ref.Index)
}

// ParseJobID returns the team and number in a job's identifier.
func ParseJobID(id string) (fleet.Path, uint64, bool) {
	path := fleet.Path(id)
	name := path.Name()
	if len(name) < 2 || name[0] != 'j' || path.Parent() == "" {
		return "", 0, false
	}
	number, err := strconv.ParseUint(name[1:], 10, 64)
	return path.Parent(), number, err == nil
}

// ParseTaskID returns the team and task in a task's identifier.
func ParseTaskID(id string) (fleet.Path, TaskRef, bool) {
	path := fleet.Path(id)
	team, number, ok := ParseJobID(string(path.Parent()))
	if !ok {
		return "", TaskRef{}, false
	}
	index, err := strconv.Atoi(path.Name())
	return team, TaskRef{Job: number, Index: index}, err == nil && index >= 0
}
