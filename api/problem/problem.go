// Package problem turns errors into RFC 9457 problem documents, which say
// whether a command certainly changed nothing or may have taken effect.
package problem

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
	"github.com/peridotlock/peridotlock/wire"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Type names the kind of a problem.
type Type string

// The types of problem.
const (
	BadRequest   Type = "urn:peridotlock:bad-request"
	Unauthorised Type = "urn:peridotlock:unauthorised"
	NotFound     Type = "urn:peridotlock:not-found"
	Invalid      Type = "urn:peridotlock:invalid"
	Lost         Type = "urn:peridotlock:lost"
	TooLarge     Type = "urn:peridotlock:too-large"
	Unavailable  Type = "urn:peridotlock:unavailable"
	InDoubt      Type = "urn:peridotlock:in-doubt"
	Internal     Type = "urn:peridotlock:internal"
)

// Outcome says what became of a command.
type Outcome string

// The outcomes. Refused is certain: nothing was changed and nothing will be.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// Problem is a problem document. It is an error.
type Problem struct {
	Type       Type                `json:"type"`
	Title      string              `json:"title"`
	Status     int                 `json:"status"`
	Detail     string              `json:"detail,omitempty"`
	Outcome    Outcome             `json:"outcome"`
	Findings   finding.List        `json:"findings,omitempty"`
	Conflicts  []settings.Conflict `json:"conflicts,omitempty"`
	RetryAfter time.Duration       `json:"retry_after_ns,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

// retryAfter is when a client may try again after an outage.
const retryAfter = time.Second

// New returns a refusal with the status.
func New(t Type, status int, format string, args ...any) *Problem {
	return &Problem{
		Type:    t,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  fmt.Sprintf(format, args...),
		Outcome: Refused,
	}
}

// Missing returns the problem of a thing that does not exist.
func Missing(format string, args ...any) *Problem {
	return New(NotFound, http.StatusNotFound, format, args...)
}

// NotReady returns the problem of a server that can't answer yet, and why.
func NotReady(format string, args ...any) *Problem {
	p := New(Unavailable, http.StatusServiceUnavailable, format, args...)
	p.RetryAfter = retryAfter
	return p
}

// Of returns the problem document for an error. An error of an unknown type
// leaves the outcome unknown.
func Of(err error) *Problem {
	var p *Problem
	var found finding.List
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &found):
		p = New(Invalid, http.StatusUnprocessableEntity, "%d findings", len(found))
		p.Findings = found
		return p
	case errors.As(err, &tooLarge):
		return New(TooLarge, http.StatusRequestEntityTooLarge, "body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, stream.ErrInvalidEntry):
		return New(TooLarge, http.StatusRequestEntityTooLarge, "%v", err)
	case errors.Is(err, platform.ErrInDoubt), errors.Is(err, wire.ErrUnanswered), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return unknown(InDoubt, http.StatusGatewayTimeout, err)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, wire.ErrNotSent):
		return NotReady("%v", err)
	}
	return unknown(Internal, http.StatusInternalServerError, err)
}

func unknown(t Type, status int, err error) *Problem {
	p := New(t, status, "%v", err)
	p.Outcome = Unknown
	return p
}

// Write answers with the problem document for an error.
func Write(w http.ResponseWriter, err error) {
	p := Of(err)
	w.Header().Set("Content-Type", ContentType)
	if p.RetryAfter > 0 {
		seconds := int64((p.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
