package query

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/peridotlock/peridotlock/api/problem"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
)

// DefaultTimeout bounds a query.
const DefaultTimeout = 10 * time.Second

// Bounds of the number of items in an answer.
const (
	defaultLimit = 50
	maxLimit     = 1000
)

// Handlers are what the queries read from.
type Handlers struct {
	Settings Settings
	Jobs     Jobs
	VMs      VMs
	Status   Statuses
}

// Register adds the queries to the mux.
func Register(mux *http.ServeMux, h Handlers) {
	mux.Handle("GET /v1/settings/view", handle(h.view))
	mux.Handle("GET /v1/settings/document", handle(h.document))
	mux.Handle("GET /v1/settings/effective", handle(h.effective))
	mux.Handle("GET /v1/settings/history", handle(h.history))
	mux.Handle("GET /v1/settings/in-force", handle(h.inForce))
	mux.Handle("GET /v1/jobs", handle(h.listJobs))
	mux.Handle("GET /v1/jobs/{id}", handle(h.showJob))
	mux.Handle("GET /v1/jobs/{id}/explain", handle(h.explainJob))
	mux.Handle("GET /v1/vms", handle(h.listVMs))
	mux.Handle("GET /v1/status", handle(h.status))
}

// handle bounds the time of a query.
func handle(f func(ctx context.Context, r *http.Request) (any, error)) http.Handler {
	return problem.Handle(func(r *http.Request) (any, error) {
		ctx, cancel := context.WithTimeout(r.Context(), DefaultTimeout)
		defer cancel()
		return f(ctx, r)
	})
}

func (h Handlers) view(ctx context.Context, _ *http.Request) (any, error) {
	return h.Settings.View(ctx)
}

func (h Handlers) document(ctx context.Context, r *http.Request) (any, error) {
	q := r.URL.Query()
	revision, err := offsetOf(q, Present)
	if err != nil {
		return nil, err
	}
	return h.Settings.Document(ctx, pathOf(q), revision)
}

func (h Handlers) effective(ctx context.Context, r *http.Request) (any, error) {
	return h.Settings.Effective(ctx, pathOf(r.URL.Query()))
}

func (h Handlers) history(ctx context.Context, r *http.Request) (any, error) {
	n, err := limitOf(r.URL.Query())
	if err != nil {
		return nil, err
	}
	return h.Settings.History(ctx, n)
}

func (h Handlers) inForce(ctx context.Context, r *http.Request) (any, error) {
	revision, err := offsetOf(r.URL.Query(), Present)
	if err != nil {
		return nil, err
	}
	return h.Settings.InForce(ctx, revision)
}

func (h Handlers) listJobs(ctx context.Context, r *http.Request) (any, error) {
	q := r.URL.Query()
	n, err := limitOf(q)
	if err != nil {
		return nil, err
	}
	return h.Jobs.List(ctx, JobFilter{Team: fleet.Path(q.Get("team")), State: job.State(q.Get("state")), Limit: n})
}

func (h Handlers) showJob(ctx context.Context, r *http.Request) (any, error) {
	return h.Jobs.Show(ctx, r.PathValue("id"))
}

func (h Handlers) explainJob(ctx context.Context, r *http.Request) (any, error) {
	return h.Jobs.Explain(ctx, r.PathValue("id"))
}

func (h Handlers) listVMs(ctx context.Context, _ *http.Request) (any, error) {
	return h.VMs.VMs(ctx)
}

func (h Handlers) status(ctx context.Context, _ *http.Request) (any, error) {
	return h.Status.Status(ctx)
}

func pathOf(q url.Values) fleet.Path { return fleet.Path(q.Get("path")) }

func offsetOf(q url.Values, absent platform.Offset) (platform.Offset, error) {
	if !q.Has("revision") {
		return absent, nil
	}
	n, err := strconv.ParseInt(q.Get("revision"), 10, 64)
	if err != nil {
		return 0, problem.New(problem.BadRequest, http.StatusBadRequest, "revision %q is not a whole number", q.Get("revision"))
	}
	return platform.Offset(n), nil
}

func limitOf(q url.Values) (int, error) {
	if !q.Has("limit") {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(q.Get("limit"))
	if err != nil || n < 1 || n > maxLimit {
		return 0, problem.New(problem.BadRequest, http.StatusBadRequest, "limit %q is not between 1 and %d", q.Get("limit"), maxLimit)
	}
	return n, nil
}
