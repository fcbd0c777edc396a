package load

import (
	"bytes"
	"net/http"

	"github.com/peridotlock/peridotlock/entry/answer"
	"github.com/peridotlock/peridotlock/fleet"
)

// Request is one generated request.
type Request struct {
	ID     string
	Class  fleet.RequestClass
	Caller string
	Body   []byte
	Size   int // of the answer
}

// Reply is what a caller saw.
type Reply struct {
	Status  int    // 0 when no header arrived
	Outcome string // of a problem document
	Body    []byte
	Err     error // no answer, or an answer that was cut
}

// Verdict classifies a reply.
type Verdict string

// The verdicts. Those from Lost on are violations.
const (
	Correct       Verdict = "whole"       // the answer to this request
	NotRun        Verdict = "not-run"     // a refusal, which was true
	Undetermined  Verdict = "open"        // unknown or failed
	EndpointError Verdict = "passed"      // an error answer of an endpoint
	Aborted       Verdict = "aborted"     // a large answer that was visibly cut
	Lost          Verdict = "lost"        // no answer at all
	Duplicated    Verdict = "doubled"     // a non-idempotent request ran more than once
	Misreported   Verdict = "misreported" // the answer is wrong or untrue
)

// IsViolation reports whether the verdict is one that must never be.
func (v Verdict) IsViolation() bool { return v == Lost || v == Duplicated || v == Misreported }

// Check compares a reply with how often the request ran. Call it once nothing
// runs any more.
func Check(r Request, p Reply, runs int) Verdict {
	if r.Class == fleet.NonIdempotent && runs > 1 {
		return Duplicated
	}
	switch {
	case p.Err != nil && p.Status == http.StatusOK:
		return Aborted
	case p.Err != nil:
		return Lost
	case p.Status == http.StatusOK:
		return checkWhole(r, p, runs)
	case p.Outcome != "":
		return checkOutcome(r, answer.Outcome(p.Outcome), runs)
	}
	return EndpointError
}

func checkWhole(r Request, p Reply, runs int) Verdict {
	if runs == 0 || !bytes.Equal(p.Body, Body(r.ID, r.Body, r.Size)) {
		return Misreported
	}
	return Correct
}

func checkOutcome(r Request, o answer.Outcome, runs int) Verdict {
	switch {
	case o == answer.NotRun && runs == 0:
		return NotRun
	case o == answer.Unknown, o == answer.Failed && r.Class == fleet.Idempotent:
		return Undetermined
	}
	return Misreported
}
