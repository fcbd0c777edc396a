package queue

import (
	"fmt"
	"strings"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/place"
	"github.com/peridotlock/peridotlock/rack"
)

// ReasonCode says why a task waits.
type ReasonCode string

// The codes.
const (
	WaitsTurn     ReasonCode = "waits for its turn"
	WaitsQuota    ReasonCode = "team's quota is used up"
	WaitsBackoff  ReasonCode = "waits after a failure"
	WaitsBudget   ReasonCode = "team's retry budget is used up"
	WaitsRoom     ReasonCode = "no rack has room"
	WaitsRacks    ReasonCode = "no rack owner answers"
	WaitsLog      ReasonCode = "log is unavailable, nothing may start"
	WaitsStart    ReasonCode = "start was refused"
	WaitsSettings ReasonCode = "no settings yet"
)

// Reason says why a task waits, with what belongs to the code.
type Reason struct {
	Code     ReasonCode
	Until    time.Time
	Used     fleet.Resources
	Limit    fleet.Resources
	Ahead    int
	Rack     fleet.Path
	Refused  rack.RefusalReason
	Detail   string
	Refusals []place.Refusal
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
	if r.Code == WaitsTurn {
		fmt.Fprintf(&b, ": %d tasks ahead", r.Ahead)
	}
	if r.Refused != "" {
		fmt.Fprintf(&b, ": rack %s: %s", r.Rack, r.Refused)
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
