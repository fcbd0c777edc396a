// Package command serves the operators' HTTP requests that change something:
// edits of the settings, submissions and cancellations of jobs.
package command

import (
	"context"

	"github.com/peridotlock/peridotlock/api/problem"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// Settings publishes edits of the settings.
type Settings interface {
	// Publish appends the edit under its key and returns once the record was
	// read back and interpreted. Publishing the same key again has the effect
	// of one record. An edit that would be lost or invalid now may be refused
	// without a record; its revision is -1. Errors wrap platform.ErrUnavailable
	// when the edit is certainly absent and platform.ErrInDoubt when that is
	// unknown.
	Publish(ctx context.Context, e Edit) (Receipt, error)
}

// Edit is an edit and its idempotency key, which becomes the record's id.
type Edit struct {
	Key string
	settings.Edit
}

// Receipt says what became of an edit that was read back.
type Receipt struct {
	Key      string          `json:"key"`
	Revision platform.Offset `json:"revision"`
	Change   settings.Change `json:"change"`
}

// Jobs submits and cancels jobs.
type Jobs interface {
	// Submit records the jobs, each with its own outcome, in their order.
	// A job whose key is known already is not recorded again.
	Submit(ctx context.Context, jobs []job.Spec) ([]Submission, error)
	// Cancel records the cancellation of a job. Cancelling again is no error.
	Cancel(ctx context.Context, id string) (Cancellation, error)
}

// Submission says what became of one submitted job.
type Submission struct {
	Key       string          `json:"key"`
	ID        string          `json:"id,omitempty"` // accepted jobs
	Outcome   problem.Outcome `json:"outcome"`
	Duplicate bool            `json:"duplicate,omitempty"` // the key was known
	Detail    string          `json:"detail,omitempty"`
}

// Cancellation is the state of a job after its cancellation was recorded.
type Cancellation struct {
	ID    string    `json:"id"`
	State job.State `json:"state"`
}

// SubmitRequest is the body of a submission.
type SubmitRequest struct {
	Jobs []job.Spec `json:"jobs"`
}

// SubmitReply is the answer to a submission.
type SubmitReply struct {
	Submissions []Submission `json:"submissions"`
}
