// Package job holds the types of batch and service jobs that operators and
// callers submit, and what the system says of them.
package job

import (
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// Spec is a job as submitted. A job has Count tasks of the same shape.
type Spec struct {
	Name           string          `json:"name" yaml:"name" cbor:"1,keyasint"`
	Team           fleet.Path      `json:"team" yaml:"team" cbor:"2,keyasint"`
	Kind           string          `json:"kind" yaml:"kind" cbor:"3,keyasint"` // interference class
	Class          fleet.TaskClass `json:"class" yaml:"class" cbor:"4,keyasint"`
	Count          int             `json:"count" yaml:"count" cbor:"5,keyasint"`
	Size           fleet.Resources `json:"size" yaml:"size" cbor:"6,keyasint"` // of one task, declared
	RunTime        time.Duration   `json:"run_time" yaml:"run-time" cbor:"7,keyasint"`
	Deadline       time.Duration   `json:"deadline,omitempty" yaml:"deadline" cbor:"8,keyasint"` // from submission; 0 for none
	Urgent         bool            `json:"urgent,omitempty" yaml:"urgent" cbor:"9,keyasint"`
	FailureDomains []fleet.Path    `json:"failure_domains,omitempty" yaml:"failure-domains" cbor:"10,keyasint"` // allowed; empty for all
	IdempotencyKey string          `json:"idempotency_key" yaml:"idempotency-key" cbor:"11,keyasint"`
}

// State is the state of a task or job.
type State string

// The states. Pending, Placed, Running and Evicted are not final.
const (
	Pending       State = "pending"
	Placed        State = "placed" // recorded on the log, start not confirmed
	Running       State = "running"
	Evicted       State = "evicted" // stopped with a checkpoint, waits to resume
	Finished      State = "finished"
	Failed        State = "failed"
	Cancelled     State = "cancelled"
	Unschedulable State = "unschedulable"
)

// IsFinal reports whether s can't change any more.
func (s State) IsFinal() bool {
	switch s {
	case Finished, Failed, Cancelled, Unschedulable:
		return true
	}
	return false
}

// TaskStatus is what the system knows of one task.
type TaskStatus struct {
	ID         string   `json:"id" cbor:"1,keyasint"` // "<job>/<index>"
	State      State    `json:"state" cbor:"2,keyasint"`
	Attempt    int      `json:"attempt" cbor:"3,keyasint"` // number of the newest placement
	VM         string   `json:"vm,omitempty" cbor:"4,keyasint"`
	Checkpoint string   `json:"checkpoint,omitempty" cbor:"5,keyasint"`
	Evictions  int      `json:"evictions" cbor:"6,keyasint"`
	Failures   int      `json:"failures" cbor:"7,keyasint"`
	Reason     string   `json:"reason,omitempty" cbor:"8,keyasint"`
	Explain    []string `json:"explain,omitempty" cbor:"9,keyasint"` // why it waits or where it went
}

// Status is what the system knows of one job.
type Status struct {
	ID        string       `json:"id" cbor:"1,keyasint"`
	Spec      Spec         `json:"spec" cbor:"2,keyasint"`
	State     State        `json:"state" cbor:"3,keyasint"`
	Submitted time.Time    `json:"submitted" cbor:"4,keyasint"`
	Tasks     []TaskStatus `json:"tasks,omitempty" cbor:"5,keyasint"`
}
