package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/peridotlock/peridotlock/entry/answer"
	"github.com/peridotlock/peridotlock/entry/route"
)

const (
	maxDeadline         = time.Hour
	maxBodyMemory       = 256 << 20   // bytes of request bodies held at once
	chunkedBodyEstimate = 64 << 10    // bytes assumed of a chunked body
	minRetryAfter       = time.Second // base of Retry-After when nothing better is known
)

// validator refuses requests whose meaning could differ between the entry and an
// endpoint.
type validator struct{}

func (validator) handle(c *call) *answer.Problem {
	r := c.r
	switch {
	case !r.ProtoAtLeast(1, 1):
		return rejection(http.StatusHTTPVersionNotSupported, "http-version", "HTTP/1.1 is needed", r.Proto)
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return rejection(http.StatusMethodNotAllowed, "method", "Method not served", r.Method)
	case !route.IsCanonical(r.URL.Path):
		return rejection(http.StatusBadRequest, "path", "Path is not canonical", "empty, '.' or '..' segments are not served")
	case hasLengthAndChunked(r):
		return rejection(http.StatusBadRequest, "framing", "Ambiguous framing", "Content-Length and Transfer-Encoding exclude each other")
	}
	return nil
}

// resolver finds the service, class, policy and deadline of a request.
type resolver struct{}

func (resolver) handle(c *call) *answer.Problem {
	c.caller = callerName(c.r)
	c.snapshot = c.entry.current.Load()
	if c.snapshot == nil {
		return unavailable("not-ready", "Entry has no settings yet", "no snapshot from the scheduler", minRetryAfter)
	}
	m, ok := c.snapshot.routes.Find(c.r.Host, c.r.Method, c.r.URL.Path)
	if !ok {
		return rejection(http.StatusNotFound, "no-route", "No service has this path and method", c.r.Method+" "+c.r.URL.Path)
	}
	c.service = c.snapshot.services[m.Service]
	c.policy = &c.snapshot.policies[m.Service]
	c.class = m.Class
	if n := answer.HeaderBytes(c.r.Header); n > c.policy.MaxHeaderBytes {
		return rejection(http.StatusRequestHeaderFieldsTooLarge, "header-size", "Header too large", strconv.Itoa(n)+" bytes")
	}
	limit, problem := parseDeadline(c.r.Header.Get(DeadlineHeader), c.policy.Deadline)
	c.deadline = c.start.Add(limit)
	return problem
}

func parseDeadline(header string, fallback time.Duration) (time.Duration, *answer.Problem) {
	if header == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return 0, rejection(http.StatusBadRequest, "deadline", "Deadline not understood", DeadlineHeader+" is not a positive number")
	}
	if ms > maxDeadline.Milliseconds() {
		return maxDeadline, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// bodyReader reads the whole body before any endpoint is chosen, so that a
// slow or vanishing caller holds no slot and an endpoint never sees a part of
// a request.
type bodyReader struct{}

func (bodyReader) handle(c *call) *answer.Problem {
	r := c.r
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := c.policy.MaxBodyBytes
	if r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	if problem := c.reserveBody(r.ContentLength); problem != nil {
		return problem
	}
	control := http.NewResponseController(c.w)
	control.SetReadDeadline(c.deadline)
	body, err := readBody(http.MaxBytesReader(c.w, r.Body, limit), r.ContentLength)
	if err == nil {
		control.SetReadDeadline(time.Time{})
		c.bodyRead = true
	}
	var large *http.MaxBytesError
	switch {
	case err == nil:
		c.body = body
		return nil
	case errors.As(err, &large):
		return bodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rejection(http.StatusRequestTimeout, "body-late", "Body did not arrive in time", err.Error())
	}
	return rejection(http.StatusBadRequest, "body", "Body is not whole", err.Error())
}

// reserveBody counts the body, or a guess where its length is unknown, against the
// memory for bodies.
func (c *call) reserveBody(length int64) *answer.Problem {
	c.reservedBytes = length
	if length < 0 {
		c.reservedBytes = chunkedBodyEstimate
	}
	if c.entry.bodyBytes.Add(c.reservedBytes) > maxBodyMemory {
		return unavailable("memory", "Too many request bodies are held", "", minRetryAfter)
	}
	return nil
}

func (c *call) releaseBody() { c.entry.bodyBytes.Add(-c.reservedBytes) }

func readBody(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func bodyTooLarge(limit int64) *answer.Problem {
	return rejection(http.StatusRequestEntityTooLarge, "body-size", "Body too large", "more than "+strconv.FormatInt(limit, 10)+" bytes")
}

// rejection is a problem of the request itself; nothing was sent.
func rejection(status int, code, title, detail string) *answer.Problem {
	return &answer.Problem{Status: status, Outcome: answer.NotRun, Code: code, Title: title, Detail: detail}
}

// unavailable is a problem of the moment; nothing was sent.
func unavailable(code, title, detail string, after time.Duration) *answer.Problem {
	p := rejection(http.StatusServiceUnavailable, code, title, detail)
	p.RetryAfter = max(after, minRetryAfter)
	return p
}
