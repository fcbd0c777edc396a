package rack

import (
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/place"
	"github.com/peridotlock/peridotlock/platform"
)

// ServiceName is the name of the net/rpc service of the rack owners.
const ServiceName = "Rack"

// Code says how the owner took a call as a whole.
type Code string

// The codes; all but OK say that nothing was done.
const (
	OK           Code = ""
	NotOwner     Code = "not-owner"      // the node does not own the rack
	OldQueueTerm Code = "old-queue-term" // a newer owner of the queue was seen
)

// RefusalReason says why a reservation or start was certainly not made.
type RefusalReason string

// The reasons.
const (
	NoSettings    RefusalReason = "no settings yet"
	StaleSettings RefusalReason = "settings view too old"
	StaleClaim    RefusalReason = "claim of the rack not known to be current"
	NoVM          RefusalReason = "no VM of the rack can take it"
	HeldByAttempt RefusalReason = "an earlier attempt may still run"
	NoReservation RefusalReason = "reservation unknown or expired"
	StaleQueue    RefusalReason = "a newer owner of the queue was seen"
	WorkerRefused RefusalReason = "refused by the worker"
	NotSent       RefusalReason = "worker not reached"
)

// Request asks for a VM for one attempt of a task.
type Request struct {
	Task            string          `cbor:"1,keyasint"`
	Attempt         int             `cbor:"2,keyasint"`
	Kind            string          `cbor:"3,keyasint"`
	Class           fleet.TaskClass `cbor:"4,keyasint"`
	Size            fleet.Resources `cbor:"5,keyasint"`
	FailureDomains  []fleet.Path    `cbor:"6,keyasint,omitempty"`
	Avoid           []string        `cbor:"7,keyasint,omitempty"`
	FailedElsewhere bool            `cbor:"8,keyasint,omitempty"` // its job failed on another VM before
	Evicted         bool            `cbor:"9,keyasint,omitempty"` // it was evicted before
}

func (r Request) placeRequest() place.Request {
	return place.Request{
		Task: r.Task, Kind: r.Kind, Class: r.Class, Size: r.Size,
		FailureDomains: r.FailureDomains, Avoid: r.Avoid,
	}
}

// ReserveArgs asks for VMs for a batch of attempts.
type ReserveArgs struct {
	Rack      fleet.Path      `cbor:"1,keyasint"`
	Queue     fleet.Path      `cbor:"2,keyasint"`
	QueueTerm platform.Offset `cbor:"3,keyasint"`
	Requests  []Request       `cbor:"4,keyasint"`
	Summary   bool            `cbor:"5,keyasint,omitempty"` // the reply is to bring one
}

// Reservation answers one Request; VM is empty when it was refused. Refusals
// names the first few VMs, once for each size in a batch.
type Reservation struct {
	Task     string          `cbor:"1,keyasint"`
	Attempt  int             `cbor:"2,keyasint"`
	VM       string          `cbor:"3,keyasint,omitempty"`
	Reason   RefusalReason   `cbor:"4,keyasint,omitempty"`
	Refusals []place.Refusal `cbor:"5,keyasint,omitempty"`
}

// ReserveReply answers ReserveArgs in the same order.
type ReserveReply struct {
	Code    Code            `cbor:"1,keyasint"`
	Term    platform.Offset `cbor:"2,keyasint"`
	Results []Reservation   `cbor:"3,keyasint"`
	Summary *Summary        `cbor:"4,keyasint,omitempty"`
}

// Start names a reserved attempt whose placement is on the log.
type Start struct {
	Task       string        `cbor:"1,keyasint"`
	Attempt    int           `cbor:"2,keyasint"`
	Checkpoint string        `cbor:"3,keyasint,omitempty"`
	RunTime    time.Duration `cbor:"4,keyasint"`
}

// StartArgs starts reserved attempts. Term is that of the reservation.
type StartArgs struct {
	Rack      fleet.Path      `cbor:"1,keyasint"`
	Term      platform.Offset `cbor:"2,keyasint"`
	Queue     fleet.Path      `cbor:"3,keyasint"`
	QueueTerm platform.Offset `cbor:"4,keyasint"`
	Starts    []Start         `cbor:"5,keyasint"`
}

// StartResult is the outcome of one start: running, certainly not started with
// the reason, or unknown, in which case an Event follows.
type StartResult struct {
	Task    string        `cbor:"1,keyasint"`
	Attempt int           `cbor:"2,keyasint"`
	Running bool          `cbor:"3,keyasint"`
	Refused RefusalReason `cbor:"4,keyasint,omitempty"`
	Detail  string        `cbor:"5,keyasint,omitempty"`
}

// StartReply answers StartArgs in the same order.
type StartReply struct {
	Code    Code          `cbor:"1,keyasint"`
	Results []StartResult `cbor:"2,keyasint"`
}

// CancelReason is the reason of a stop that is no eviction.
const CancelReason = "job cancelled"

// StopArgs asks that attempts be evicted or cancelled. The answer comes as an
// Event once the attempt is over.
type StopArgs struct {
	Rack      fleet.Path            `cbor:"1,keyasint"`
	Queue     fleet.Path            `cbor:"2,keyasint"`
	QueueTerm platform.Offset       `cbor:"3,keyasint"`
	Attempts  []platform.AttemptRef `cbor:"4,keyasint"`
	Goal      Goal                  `cbor:"5,keyasint"`
	Reason    string                `cbor:"6,keyasint"`
}

// StopReply answers StopArgs.
type StopReply struct {
	Code Code `cbor:"1,keyasint"`
}

// Placement is a recorded attempt whose fate is asked for.
type Placement struct {
	Task     string          `cbor:"1,keyasint"`
	Attempt  int             `cbor:"2,keyasint"`
	VM       string          `cbor:"3,keyasint"`
	RackTerm platform.Offset `cbor:"4,keyasint"`
}

// ResolveArgs asks what became of recorded attempts. A reservation that was
// not started is dropped, so that a start that is still on its way is refused.
type ResolveArgs struct {
	Rack       fleet.Path      `cbor:"1,keyasint"`
	Queue      fleet.Path      `cbor:"2,keyasint"`
	QueueTerm  platform.Offset `cbor:"3,keyasint"`
	Placements []Placement     `cbor:"4,keyasint"`
}

// Fate is what the rack owner knows of a recorded attempt.
type Fate string

// The fates.
const (
	Runs    Fate = "runs"
	Waits   Fate = "waits"   // not known yet; ask again
	Reports Fate = "reports" // over, an Event follows
	Absent  Fate = "absent"  // does not run and never will
)

// Resolution is the fate of one attempt.
type Resolution struct {
	Task    string `cbor:"1,keyasint"`
	Attempt int    `cbor:"2,keyasint"`
	Fate    Fate   `cbor:"3,keyasint"`
}

// ResolveReply answers ResolveArgs in the same order.
type ResolveReply struct {
	Code    Code            `cbor:"1,keyasint"`
	Term    platform.Offset `cbor:"2,keyasint"`
	Results []Resolution    `cbor:"3,keyasint"`
}

// SummaryArgs asks for the summary of a rack.
type SummaryArgs struct {
	Rack fleet.Path `cbor:"1,keyasint"`
}

// SummaryReply answers SummaryArgs.
type SummaryReply struct {
	Code    Code    `cbor:"1,keyasint"`
	Summary Summary `cbor:"2,keyasint"`
}

// Summary says what a rack has free, for the choice of a rack.
type Summary struct {
	Rack          fleet.Path      `cbor:"1,keyasint"`
	Term          platform.Offset `cbor:"2,keyasint"`
	VMs           []VMSummary     `cbor:"3,keyasint"`
	Running       int             `cbor:"4,keyasint"`
	Reason        RefusalReason   `cbor:"5,keyasint,omitempty"` // why nothing may start
	FailureDomain fleet.Path      `cbor:"6,keyasint"`
}

// VMSummary is one VM that takes tasks.
type VMSummary struct {
	ID   string          `cbor:"1,keyasint"`
	Free fleet.Resources `cbor:"2,keyasint"`
}
