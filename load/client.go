package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotlock/peridotlock/entry"
	"github.com/peridotlock/peridotlock/entry/answer"
	"github.com/peridotlock/peridotlock/fleet"
)

// Paths of the requests by class.
const (
	IdempotentPath    = "/lookups"
	NonIdempotentPath = "/records"
)

// maxCallerConns bounds the open connections of all callers to one entry.
const maxCallerConns = 1000

// answerGrace is how long after the deadline a caller still waits.
const answerGrace = time.Second

// Client sends requests as many callers would.
type Client struct {
	http     *http.Client
	deadline time.Duration
}

// NewClient returns a client whose requests carry the given deadline.
func NewClient(deadline time.Duration) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: maxCallerConns, MaxConnsPerHost: maxCallerConns, DisableCompression: true}
	return &Client{http: &http.Client{Transport: t}, deadline: deadline}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends r to the base URL. The second result is the time that the
// endpoint says it took, or 0.
func (c *Client) Send(ctx context.Context, base string, r Request) (Reply, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline+answerGrace)
	defer cancel()
	resp, err := c.http.Do(c.build(ctx, base, r))
	if err != nil {
		return Reply{Err: err}, 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	took, _ := strconv.ParseInt(resp.Header.Get(DurationHeader), 10, 64)
	reply := Reply{Status: resp.StatusCode, Outcome: resp.Header.Get(answer.OutcomeHeader), Body: body, Err: err}
	return reply, time.Duration(took)
}

func (c *Client) build(ctx context.Context, base string, r Request) *http.Request {
	method, path := http.MethodGet, IdempotentPath
	if r.Class == fleet.NonIdempotent {
		method, path = http.MethodPost, NonIdempotentPath
	}
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(r.Body))
	if err != nil {
		panic(err) // base is an address that was checked
	}
	req.GetBody = nil
	req.Header.Set(IDHeader, r.ID)
	req.Header.Set(SizeHeader, strconv.Itoa(r.Size))
	req.Header.Set(entry.CallerHeader, r.Caller)
	req.Header.Set(entry.DeadlineHeader, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	return req
}
