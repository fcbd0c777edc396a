package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/peridotlock/peridotlock/api/command"
	"github.com/peridotlock/peridotlock/api/query"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// Publish publishes an edit under the key.
func (c *Client) Publish(ctx context.Context, key string, e settings.Edit) (command.Receipt, error) {
	var out command.Receipt
	err := c.do(ctx, call{method: http.MethodPost, path: "/v1/settings/edits", key: key, body: e}, &out)
	return out, err
}

// Submit submits jobs under the key.
func (c *Client) Submit(ctx context.Context, key string, jobs []job.Spec) ([]command.Submission, error) {
	var out command.SubmitReply
	body := command.SubmitRequest{Jobs: jobs}
	err := c.do(ctx, call{method: http.MethodPost, path: "/v1/jobs", key: key, body: body}, &out)
	return out.Submissions, err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (command.Cancellation, error) {
	var out command.Cancellation
	err := c.do(ctx, call{method: http.MethodDelete, path: jobPath(id)}, &out)
	return out, err
}

// Show returns the state of a job.
func (c *Client) Show(ctx context.Context, id string) (job.Status, error) {
	return get[job.Status](ctx, c, jobPath(id), nil)
}

// List returns the jobs that the filter selects.
func (c *Client) List(ctx context.Context, f query.JobFilter) ([]job.Status, error) {
	q := url.Values{}
	q.Set("limit", strconv.Itoa(f.Limit))
	if f.Team != "" {
		q.Set("team", string(f.Team))
	}
	if f.State != "" {
		q.Set("state", string(f.State))
	}
	return get[[]job.Status](ctx, c, "/v1/jobs", q)
}

// Explain returns why the tasks of a job are where they are.
func (c *Client) Explain(ctx context.Context, id string) ([]query.Explanation, error) {
	return get[[]query.Explanation](ctx, c, jobPath(id)+"/explain", nil)
}

// View returns the settings in force at the server.
func (c *Client) View(ctx context.Context) (settings.View, error) {
	return get[settings.View](ctx, c, "/v1/settings/view", nil)
}

// Document returns the text of a branch; query.Present is the newest revision.
func (c *Client) Document(ctx context.Context, path fleet.Path, revision platform.Offset) (query.Document, error) {
	q := url.Values{"path": {string(path)}}
	if revision != query.Present {
		q.Set("revision", strconv.FormatInt(int64(revision), 10))
	}
	return get[query.Document](ctx, c, "/v1/settings/document", q)
}

// Effective returns the values in force at a branch with their provenance.
func (c *Client) Effective(ctx context.Context, path fleet.Path) ([]settings.Effective, error) {
	return get[[]settings.Effective](ctx, c, "/v1/settings/effective", url.Values{"path": {string(path)}})
}

// History returns the newest n edits.
func (c *Client) History(ctx context.Context, n int) ([]settings.Change, error) {
	return get[[]settings.Change](ctx, c, "/v1/settings/history", url.Values{"limit": {strconv.Itoa(n)}})
}

// InForce returns which processes have the revision in force.
func (c *Client) InForce(ctx context.Context, revision platform.Offset) (query.InForce, error) {
	q := url.Values{"revision": {strconv.FormatInt(int64(revision), 10)}}
	return get[query.InForce](ctx, c, "/v1/settings/in-force", q)
}

// VMs returns the VMs of the platform.
func (c *Client) VMs(ctx context.Context) ([]query.VM, error) {
	return get[[]query.VM](ctx, c, "/v1/vms", nil)
}

// Status returns the state of the scheduler that answers.
func (c *Client) Status(ctx context.Context) (query.Status, error) {
	return get[query.Status](ctx, c, "/v1/status", nil)
}

func get[T any](ctx context.Context, c *Client, path string, q url.Values) (T, error) {
	var out T
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	err := c.do(ctx, call{method: http.MethodGet, path: path}, &out)
	return out, err
}

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }
