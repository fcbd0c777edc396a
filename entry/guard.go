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
	maxDeadline = time.Hour
	maxBodies   = 256 << 20   // bytes of request bodies held at once
	unknownBody = 64 << 10    // bytes assumed of a chunked body
	comeBack    = time.Second // base of Retry-After when nothing better is known
)

// guard refuses requests whose meaning could differ between the entry and an
// endpoint.
type guard struct{}

func (guard) handle(c *call) *answer.Problem {
	r := c.r
	switch {
	case !r.ProtoAtLeast(1, 1):
		return refusal(http.StatusHTTPVersionNotSupported, "http-version", "HTTP/1.1 is needed", r.Proto)
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return refusal(http.StatusMethodNotAllowed, "method", "Method not served", r.Method)
	case !route.IsCanonical(r.URL.Path):
		return refusal(http.StatusBadRequest, "path", "Path is not canonical", "empty, '.' or '..' segments are not served")
	case hasBothLengths(r):
		return refusal(http.StatusBadRequest, "framing", "Ambiguous framing", "Content-Length and Transfer-Encoding exclude each other")
	}
	return nil
}

// resolver finds the service, class, policy and deadline of a request.
type resolver struct{}

func (resolver) handle(c *call) *answer.Problem {
	c.caller = callerOf(c.r)
	c.world = c.entry.current.Load()
	if c.world == nil {
		return overload("not-ready", "Entry has no settings yet", "no snapshot from the scheduler", comeBack)
	}
	m, ok := c.world.routes.Find(c.r.Host, c.r.Method, c.r.URL.Path)
	if !ok {
		return refusal(http.StatusNotFound, "no-route", "No service has this path and method", c.r.Method+" "+c.r.URL.Path)
	}
	c.service = c.world.services[m.Service]
	c.policy = &c.world.policies[m.Service]
	c.class = m.Class
	if n := answer.Size(c.r.Header); n > c.policy.MaxHeaderBytes {
		return refusal(http.StatusRequestHeaderFieldsTooLarge, "header-size", "Header too large", strconv.Itoa(n)+" bytes")
	}
	limit, problem := timeLimit(c.r.Header.Get(DeadlineHeader), c.policy.Deadline)
	c.deadline = c.start.Add(limit)
	return problem
}

func timeLimit(header string, fallback time.Duration) (time.Duration, *answer.Problem) {
	if header == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return 0, refusal(http.StatusBadRequest, "deadline", "Deadline not understood", DeadlineHeader+" is not a positive number")
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
	if problem := c.holdBody(r.ContentLength); problem != nil {
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
		return refusal(http.StatusRequestTimeout, "body-late", "Body did not arrive in time", err.Error())
	}
	return refusal(http.StatusBadRequest, "body", "Body is not whole", err.Error())
}

// holdBody counts the body, or a guess where its length is unknown, against the
// memory for bodies.
func (c *call) holdBody(length int64) *answer.Problem {
	c.held = length
	if length < 0 {
		c.held = unknownBody
	}
	if c.entry.bodies.Add(c.held) > maxBodies {
		return overload("memory", "Too many request bodies are held", "", comeBack)
	}
	return nil
}

func (c *call) dropBody() { c.entry.bodies.Add(-c.held) }

func readBody(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func bodyTooLarge(limit int64) *answer.Problem {
	return refusal(http.StatusRequestEntityTooLarge, "body-size", "Body too large", "more than "+strconv.FormatInt(limit, 10)+" bytes")
}

// refusal is a problem of the request itself; nothing was sent.
func refusal(status int, code, title, detail string) *answer.Problem {
	return &answer.Problem{Status: status, Outcome: answer.NotRun, Code: code, Title: title, Detail: detail}
}

// overload is a problem of the moment; nothing was sent.
func overload(code, title, detail string, after time.Duration) *answer.Problem {
	p := refusal(http.StatusServiceUnavailable, code, title, detail)
	p.RetryAfter = max(after, comeBack)
	return p
}
