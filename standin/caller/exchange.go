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
	connectTries  = 4
	maxDetail     = 200 // bytes of an answer that go into a detail
)

// Outcome is what a caller saw of a request.
type Outcome string

// The outcomes.
const (
	Answered    Outcome = "answered" // whole, and the caller's own
	WrongAnswer Outcome = "wrong"    // taken for whole, but not the caller's own
	NotRun      Outcome = "not-run"  // refused as not run
	Unknown     Outcome = "unknown"  // said to be unknown, cut, or the connection was lost
	Lost        Outcome = "lost"     // no answer of any kind in time
	NotSent     Outcome = "not-sent" // no entry could be reached
)

// try sends a request to one entry. Another is tried only while none could be
// connected to.
func (c *Callers) try(ctx context.Context, id string, s RequestKind) (Outcome, string) {
	outcome, detail := NotSent, ""
	for range connectTries {
		var resp *http.Response
		body := []byte("body of " + id)
		req, err := c.request(ctx, id, s, body)
		if err == nil {
			resp, err = c.http.Do(req)
		}
		if err == nil {
			defer resp.Body.Close()
			return c.judge(ctx, resp, id, s, body)
		}
		outcome, detail = judgeError(ctx, err)
		if outcome != NotSent {
			break
		}
	}
	return outcome, detail
}

func (c *Callers) request(ctx context.Context, id string, s RequestKind, body []byte) (*http.Request, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", c.balancer.pick().Address, s.Path,
		executor.ParamBytes, s.Bytes, executor.ParamDelay, s.Delay.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, s.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = s.Host
	req.Header.Set(executor.HeaderRequestID, id)
	req.Header.Set(deadlineKey, strconv.FormatInt(c.opts.Deadline.Milliseconds(), 10))
	if s.Class == fleet.Watch {
		req.Header.Set("Accept", "text/event-stream")
	}
	return req, nil
}

func (c *Callers) judge(ctx context.Context, resp *http.Response, id string, s RequestKind, body []byte) (Outcome, string) {
	if resp.StatusCode != http.StatusOK {
		return judgeRefusal(resp)
	}
	if s.Class == fleet.Watch {
		return judgeWatch(resp, id)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return judgeError(ctx, err)
	}
	want := executor.Answer(id, s.Method, s.Path, executor.Hash(body), s.Bytes)
	if !bytes.Equal(data, want) {
		return WrongAnswer, fmt.Sprintf("%d bytes instead of %d: %.*s", len(data), len(want), maxDetail, data)
	}
	return Answered, ""
}

// judgeRefusal tells an entry's refusal, or an endpoint's own, from an outcome
// that is unknown.
func judgeRefusal(resp *http.Response) (Outcome, string) {
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

// judgeWatch reads the events of a watch until it ends. It is good once it told
// an event of its own.
func judgeWatch(resp *http.Response, id string) (Outcome, string) {
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
		return Unknown, "watch without an event"
	}
	return Answered, ""
}

func judgeError(ctx context.Context, err error) (Outcome, string) {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return NotSent, err.Error()
	case ctx.Err() != nil:
		return Lost, err.Error()
	}
	return Unknown, err.Error()
}
