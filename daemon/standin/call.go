package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/standin/caller"
)

// countsTimeout is the timeout of the request for the execution counts.
const countsTimeout = 10 * time.Second

// callCommand sends a mix of requests and checks the responses.
type callCommand struct {
	Entry    []string      `required:"" help:"Addresses at which the entries serve callers."`
	Ready    []string      `help:"Readiness URLs of the entries, in the same order."`
	Control  string        `required:"" help:"Control address of the stand-ins."`
	Name     string        `default:"call" help:"Prefix of the request IDs."`
	Rate     float64       `default:"100" help:"Requests per second."`
	Duration time.Duration `default:"5s" help:"Duration of sending."`
	Deadline time.Duration `default:"5s" help:"Deadline of a request."`
	Slow     time.Duration `help:"Also send a few orders with this much additional service time."`
	Lookup   string        `default:"/registry/pipes" help:"Path of idempotent requests."`
	Order    string        `default:"/registry/records" help:"Path of non-idempotent requests."`
	Watch    string        `default:"/registry/watch" help:"Path of watches."`
}

// shapes returns the request mix: mostly lookups, some orders, and a few large
// responses, slow orders and watches.
func (c callCommand) shapes() []caller.RequestKind {
	out := []caller.RequestKind{
		{Class: fleet.Idempotent, Method: http.MethodGet, Path: c.Lookup, Weight: 70, Bytes: 2 << 10},
		{Class: fleet.Idempotent, Method: http.MethodGet, Path: c.Lookup, Weight: 2, Bytes: 512 << 10},
		{Class: fleet.NonIdempotent, Method: http.MethodPost, Path: c.Order, Weight: 26, Bytes: 512},
		{Class: fleet.Watch, Method: http.MethodGet, Path: c.Watch, Weight: 2},
	}
	if c.Slow > 0 {
		out = append(out, caller.RequestKind{Class: fleet.NonIdempotent, Method: http.MethodPost, Path: c.Order, Weight: 5, Bytes: 512, Delay: c.Slow})
	}
	return out
}

// run prints the summary as JSON. It fails if any request was lost, executed more
// than once or misreported.
func (c callCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	callers := caller.New(caller.Options{
		Name: c.Name, Entries: c.entries(), RequestKinds: c.shapes(), Rate: c.Rate, Deadline: c.Deadline,
	})
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	callers.Run(ctx)
	counts, err := c.executionCounts()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	summary := callers.Summary(counts)
	enc := json.NewEncoder(stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(summary); err != nil || !summary.IsCorrect() {
		return exitFailed
	}
	return exitOK
}

func (c callCommand) entries() []caller.Entry {
	var out []caller.Entry
	for i, addr := range c.Entry {
		e := caller.Entry{Address: addr}
		if i < len(c.Ready) {
			e.Ready = c.Ready[i]
		}
		out = append(out, e)
	}
	return out
}

func (c callCommand) executionCounts() (map[string]int, error) {
	client := http.Client{Timeout: countsTimeout}
	resp, err := client.Get("http://" + c.Control + "/control/ledger/counts")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var counts map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		return nil, fmt.Errorf("decode execution counts: %w", err)
	}
	return counts, nil
}
