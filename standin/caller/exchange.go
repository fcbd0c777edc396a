package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/standin/executor"
)

const (
	outcomeHeader = "Peridotlock-Outcome"
	notRun        = "not-run"
	connectTries  = 4   // entries tried until one accepts the connection
	maxDetail     = 200 // bytes of an answer that a detail quotes
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// The outcomes.
const (
	Answered    Outcome = "answered" // complete, and belongs to the request
	WrongAnswer Outcome = "wrong"    // appears complete, but is not the answer to the request
	NotRun      Outcome = "not-run"  // refused, reported as not run
	Unknown     Outcome = "unknown"  // reported as unknown, aborted, or the connection was lost
	Lost        Outcome = "lost"     // no answer or refusal in time
	NotSent     Outcome = "not-sent" // no entry could be reached
)

// sendRequest sends a request to one entry. It goes on to the next only while the
// connection is not established. The string is a detail, "" for Answered.
func (c *Callers) sendRequest(ctx context.Context, id string, kind RequestKind) (Outcome, string) {
	outcome, detail := NotSent, ""
	for range connectTries {
		var resp *http.Response
		body := []byte("body of " + id)
		req, err := c.request(ctx, id, kind, body)
		if err == nil {
			resp, err = c.http.Do(req)
		}
		if err == nil {
			defer resp.Body.Close()
			return c.classify(ctx, resp, id, kind, body)
		}
		outcome, detail = classifyFailure(ctx, err)
		if outcome != NotSent {
			break
		}
	}
	return outcome, detail
}

func (c *Callers) request(ctx context.Context, id string, kind RequestKind, body []byte) (*http.Request, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", c.balancer.pick().Address, kind.Path,
		executor.ParamBytes, kind.Bytes, executor.ParamDelay, kind.Delay.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, kind.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = kind.Host
	req.Header.Set(executor.HeaderRequestID, id)
	req.Header.Set(deadlineHeader, strconv.FormatInt(c.opts.Deadline.Milliseconds(), 10))
	if kind.Class == fleet.Watch {
		req.Header.Set("Accept", "text/event-stream")
	}
	return req, nil
}

func (c *Callers) classify(ctx context.Context, resp *http.Response, id string, kind RequestKind, body []byte) (Outcome, string) {
	if resp.StatusCode != http.StatusOK {
		return classifyStatus(resp)
	}
	if kind.Class == fleet.Watch {
		return classifyWatch(resp, id)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return classifyFailure(ctx, err)
	}
	want := executor.Answer(id, kind.Method, kind.Path, executor.Hash(body), kind.Bytes)
	if !bytes.Equal(data, want) {
		return WrongAnswer, fmt.Sprintf("%d bytes instead of %d: %.*s", len(data), len(want), maxDetail, data)
	}
	return Answered, ""
}

// classifyStatus distinguishes a refusal by an entry or an endpoint, which did not
// run the request, from an unknown outcome.
func classifyStatus(resp *http.Response) (Outcome, string) {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetail))
	detail := fmt.Sprintf("status %d: %s", resp.StatusCode, data)
	switch {
	case resp.Header.Get(outcomeHeader) == notRun:
		return NotRun, detail
	case strings.HasPrefix(string(data), "not run: "):
		return NotRun, detail
	}
	return Unknown, detail
}

// classifyWatch reads the events of a watch until it ends. The outcome is Answered
// if there was an event and all of them belong to the request.
func classifyWatch(resp *http.Response, id string) (Outcome, string) {
	lines := bufio.NewScanner(resp.Body)
	events := 0
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if !strings.HasPrefix(data, id+" ") {
			return WrongAnswer, data
		}
		events++
	}
	if events == 0 {
		return Unknown, "watch ended without an event"
	}
	return Answered, ""
}

func classifyFailure(ctx context.Context, err error) (Outcome, string) {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return NotSent, err.Error()
	case ctx.Err() != nil:
		return Lost, err.Error()
	}
	return Unknown, err.Error()
}
