package queue

import (
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/rack"
)

// ServiceName is the name of the net/rpc service of the queue owners.
const ServiceName = "Queue"

// Code says how the owner took a call.
type Code string

// The codes. All but OK and InDoubt say that nothing was done.
const (
	OK             Code = ""
	NotOwner       Code = "not-owner"
	NotReady       Code = "not-ready"       // the owner has not read its queue yet
	LogUnavailable Code = "log-unavailable" // certainly not recorded
	InDoubt        Code = "in-doubt"        // may have been recorded
	Invalid        Code = "invalid"
	UnknownJob     Code = "unknown-job"
)

// SubmitArgs submits a job to the queue of its team.
type SubmitArgs struct {
	Spec job.Spec `cbor:"1,keyasint"`
}

// SubmitReply answers SubmitArgs. Repeated says that the idempotency key was
// that of an earlier job, which is returned.
type SubmitReply struct {
	Code     Code       `cbor:"1,keyasint"`
	Detail   string     `cbor:"2,keyasint,omitempty"`
	Job      job.Status `cbor:"3,keyasint"`
	Repeated bool       `cbor:"4,keyasint"`
}

// JobArgs names a job.
type JobArgs struct {
	ID     string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"` // of a cancellation
}

// JobReply answers JobArgs.
type JobReply struct {
	Code   Code       `cbor:"1,keyasint"`
	Detail string     `cbor:"2,keyasint,omitempty"`
	Job    job.Status `cbor:"3,keyasint"`
}

// ListArgs asks for the newest jobs of a queue, Limit at most.
type ListArgs struct {
	Queue fleet.Path `cbor:"1,keyasint"`
	Limit int        `cbor:"2,keyasint"`
}

// ListReply answers ListArgs, newest first, without tasks.
type ListReply struct {
	Code Code         `cbor:"1,keyasint"`
	Jobs []job.Status `cbor:"2,keyasint"`
}

// EventsArgs brings events from the owner of a rack.
type EventsArgs struct {
	Queue  fleet.Path   `cbor:"1,keyasint"`
	Rack   fleet.Path   `cbor:"2,keyasint"`
	Events []rack.Event `cbor:"3,keyasint"`
}

// EventsReply answers EventsArgs. OK says that all events are recorded.
type EventsReply struct {
	Code Code `cbor:"1,keyasint"`
}
