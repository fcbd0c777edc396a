// Package answer writes the entry's own answers: RFC 9457 problem documents
// that tell whether the request was run.
package answer

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells what became of a request.
type Outcome string

// The outcomes of a request that has no answer from an endpoint.
const (
	NotRun  Outcome = "not-run" // no byte of it reached an endpoint
	Unknown Outcome = "unknown" // it may have run
	Failed  Outcome = "failed"  // it was idempotent and all attempts failed
)

// OutcomeHeader repeats the outcome member of the problem document.
const OutcomeHeader = "Peridotlock-Outcome"

// Problem is an error answer.
type Problem struct {
	Status     int
	Outcome    Outcome
	Code       string        // last part of the type, such as "overloaded"
	Title      string        // the same for all problems of a code
	Detail     string        // what happened to this request
	RetryAfter time.Duration // 0 for no Retry-After
}

// Error implements error.
func (p *Problem) Error() string { return p.Code + ": " + p.Detail }

type document struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
}

// Write sends the problem document.
func (p *Problem) Write(w http.ResponseWriter) {
	body, err := json.Marshal(document{"urn:peridotlock:problem:" + p.Code, p.Title, p.Status, p.Detail, p.Outcome})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(OutcomeHeader, string(p.Outcome))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(RetryAfterSeconds(p.RetryAfter, rand.Float64())))
	}
	w.WriteHeader(p.Status)
	w.Write(body)
}

// RetryAfterSeconds spreads d over d to three times d by share (0..1).
func RetryAfterSeconds(d time.Duration, share float64) int {
	return max(1, int(d.Seconds()*(1+2*share)))
}
