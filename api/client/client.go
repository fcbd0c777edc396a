// Package client calls the operators' HTTP interface. It tries several servers
// in turn and tells a refusal from an outcome that is unknown.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/peridotlock/peridotlock/api/problem"
)

// Bounds of a call.
const (
	dialTimeout    = 2 * time.Second
	attemptTimeout = 20 * time.Second
	maxAnswerBytes = 64 << 20
)

// Options say where the servers are. Servers are "IP:port".
type Options struct {
	Servers []string
	Token   string
}

// Client calls the servers in their order until one answers.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a client.
func New(o Options) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{options: o, http: &http.Client{Transport: transport, Timeout: attemptTimeout, CheckRedirect: noRedirect}}
}

// UnreachableError says that no server gave a final answer. With the outcome
// Unknown a command may have taken effect.
type UnreachableError struct {
	Outcome problem.Outcome
	Key     string // idempotency key of the command, if it has one
	Errs    []error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no server gave an answer (outcome %s): %v", e.Outcome, errors.Join(e.Errs...))
}

// Unwrap returns the errors of the servers.
func (e *UnreachableError) Unwrap() []error { return e.Errs }

// call is one request.
type call struct {
	method string
	path   string
	key    string // idempotency key
	body   any
}

// do tries the servers in turn. Sending again is safe: queries change nothing
// and commands are idempotent by their key.
func (c *Client) do(ctx context.Context, k call, out any) error {
	var body []byte
	if k.body != nil {
		var err error
		if body, err = json.Marshal(k.body); err != nil {
			return fmt.Errorf("encode the request: %w", err)
		}
	}
	failure := &UnreachableError{Outcome: problem.Refused, Key: k.key}
	for _, server := range c.options.Servers {
		err := c.attempt(ctx, server, k, body, out)
		if err == nil || isFinal(err) {
			return err
		}
		if isUnknown(err) && k.method != http.MethodGet {
			failure.Outcome = problem.Unknown
		}
		failure.Errs = append(failure.Errs, fmt.Errorf("%s: %w", server, err))
		if ctx.Err() != nil {
			break
		}
	}
	return failure
}

// isFinal reports whether another server would answer the same.
func isFinal(err error) bool {
	var p *problem.Problem
	if !errors.As(err, &p) {
		return false
	}
	return p.Type != problem.Unavailable && p.Outcome == problem.Refused
}

func isUnknown(err error) bool {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p.Outcome != problem.Refused
	}
	return !errors.Is(err, errNotSent)
}

// errNotSent says that the server certainly got nothing.
var errNotSent = errors.New("not sent")

func (c *Client) attempt(ctx context.Context, server string, k call, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, k.method, "http://"+server+k.path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	r.Header.Set("Content-Type", "application/json")
	if c.options.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	if k.key != "" {
		r.Header.Set("Idempotency-Key", k.key)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return sendError(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("the answer was cut off: %w", err)
	}
	if response.StatusCode == http.StatusOK {
		return decodeAnswer(data, out)
	}
	return problemOf(response, data)
}

func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	return err
}

func decodeAnswer(data []byte, out any) error {
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("the answer is not understood: %w", err)
	}
	return nil
}

// problemOf reads a problem document; any other answer leaves the outcome
// unknown.
func problemOf(response *http.Response, data []byte) error {
	p := &problem.Problem{}
	if response.Header.Get("Content-Type") == problem.ContentType && json.Unmarshal(data, p) == nil {
		return p
	}
	return fmt.Errorf("answer %s without a problem document", response.Status)
}
