package queue

import (
	"fmt"
	"strings"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/place"
	"github.com/peridotlock/peridotlock/rack"
)

// ReasonCode classifies why a task is waiting.
type ReasonCode string

// The reason codes. Their texts are shown to operators.
const (
	ReasonTurn           ReasonCode = "waits for its turn"
	ReasonQuota          ReasonCode = "team's quota is used up"
	ReasonBackoff        ReasonCode = "waits after a failure"
	ReasonRetryBudget    ReasonCode = "team's retry budget is used up"
	ReasonNoCapacity     ReasonCode = "no rack has room"
	ReasonNoRackOwner    ReasonCode = "no rack owner answers"
	ReasonLogUnavailable ReasonCode = "log is unavailable, nothing may start"
	ReasonStartRefused   ReasonCode = "start was refused"
	ReasonNoSettings     ReasonCode = "no settings yet"
)

// Reason is why a task is waiting. Fields that do not apply to the code have their
// zero values.
type Reason struct {
	Code        ReasonCode
	Until       time.Time
	Used        fleet.Resources
	Limit       fleet.Resources
	Ahead       int // number of tasks ahead in the queue
	Rack        fleet.Path
	RackRefusal rack.RefusalReason
	Detail      string
	Refusals    []place.Refusal
}

// Lines returns the reason as text, one line for each fact.
func (r Reason) Lines() []string {
	var b strings.Builder
	b.WriteString(string(r.Code))
	if !r.Until.IsZero() {
		fmt.Fprintf(&b, " until %s", r.Until.UTC().Format(time.RFC3339))
	}
	if !r.Limit.IsZero() {
		fmt.Fprintf(&b, ": %s of %s", r.Used, r.Limit)
	}
	if r.Code == ReasonTurn {
		fmt.Fprintf(&b, ": %d tasks ahead", r.Ahead)
	}
	if r.RackRefusal != "" {
		fmt.Fprintf(&b, ": rack %s: %s", r.Rack, r.RackRefusal)
	}
	if r.Detail != "" {
		b.WriteString(": " + r.Detail)
	}
	out := []string{b.String()}
	for _, refusal := range r.Refusals {
		out = append(out, refusalLine(refusal))
	}
	return out
}

func refusalLine(r place.Refusal) string {
	line := fmt.Sprintf("VM %s: %s", r.VM, r.Reason)
	if !r.Shortfall.IsZero() {
		line += ", lacks " + r.Shortfall.String()
	}
	return line
}
