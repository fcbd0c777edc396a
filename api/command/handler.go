package command

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"time"

	"github.com/peridotlock/peridotlock/api/problem"
	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/settings"
)

// KeyHeader carries the idempotency key of a request.
const KeyHeader = "Idempotency-Key"

// Limits of a request.
const (
	MaxBodyBytes = 2 << 20
	MaxJobs      = 1000 // per submission
	maxKeyBytes  = 128
)

// validKey excludes characters that are reserved in IDs of log records.
var validKey = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)

// DefaultTimeout is the maximum duration of a command whose request has no
// earlier deadline.
const DefaultTimeout = 15 * time.Second

// Register adds the commands to the mux.
func Register(mux *http.ServeMux, s Settings, j Jobs) {
	h := handler{settings: s, jobs: j}
	mux.Handle("POST /v1/settings/edits", problem.Handle(h.publish))
	mux.Handle("POST /v1/jobs", problem.Handle(h.submit))
	mux.Handle("DELETE /v1/jobs/{id}", problem.Handle(h.cancel))
}

type handler struct {
	settings Settings
	jobs     Jobs
}

func requestKey(r *http.Request) (string, error) {
	key := r.Header.Get(KeyHeader)
	if len(key) > maxKeyBytes || !validKey.MatchString(key) {
		return "", problem.New(problem.BadRequest, http.StatusBadRequest, "header %s must have 1 to %d characters, start with a letter or digit and consist of letters, digits and . _ : / -", KeyHeader, maxKeyBytes)
	}
	return key, nil
}

func (h handler) publish(r *http.Request) (any, error) {
	key, err := requestKey(r)
	if err != nil {
		return nil, err
	}
	var e settings.Edit
	if err := problem.Decode(r, &e); err != nil {
		return nil, err
	}
	if err := e.Validate(); err != nil {
		return nil, problem.New(problem.BadRequest, http.StatusBadRequest, "%v", err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), DefaultTimeout)
	defer cancel()
	receipt, err := h.settings.Publish(ctx, Edit{Key: key, Edit: e})
	if err != nil {
		return nil, err
	}
	return receipt, refusal(receipt.Change)
}

// refusal returns the problem of an edit that did not take effect, or nil for an
// edit that did.
func refusal(c settings.Change) error {
	switch c.Result {
	case settings.Lost:
		p := problem.New(problem.Lost, http.StatusConflict, "%s", c.Detail)
		p.Conflicts = c.Conflicts
		return p
	case settings.Invalid:
		p := problem.New(problem.Invalid, http.StatusUnprocessableEntity, "%s", c.Detail)
		p.Findings = c.Findings
		return p
	}
	return nil
}

func (h handler) submit(r *http.Request) (any, error) {
	key, err := requestKey(r)
	if err != nil {
		return nil, err
	}
	var body SubmitRequest
	if err := problem.Decode(r, &body); err != nil {
		return nil, err
	}
	if len(body.Jobs) == 0 || len(body.Jobs) > MaxJobs {
		return nil, problem.New(problem.BadRequest, http.StatusBadRequest, "a submission must have 1 to %d jobs", MaxJobs)
	}
	assignKeys(body.Jobs, key)
	if err := checkJobs(body.Jobs); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), DefaultTimeout)
	defer cancel()
	out, err := h.jobs.Submit(ctx, body.Jobs)
	if err != nil {
		return nil, err
	}
	return SubmitReply{Submissions: out}, nil
}

// assignKeys gives each job without a key one derived from the request's key and
// the job's index, so that repeating the request is safe.
func assignKeys(jobs []job.Spec, key string) {
	for i := range jobs {
		if jobs[i].IdempotencyKey == "" {
			jobs[i].IdempotencyKey = fmt.Sprintf("%s-%d", key, i)
		}
	}
}

func checkJobs(jobs []job.Spec) error {
	var found finding.List
	seen := map[string]bool{}
	for i, s := range jobs {
		path := fmt.Sprintf("jobs[%d].", i)
		for _, f := range s.Check() {
			found.Addf(path+f.Key, "%s", f.Message)
		}
		if seen[s.IdempotencyKey] {
			found.Addf(path+"idempotency-key", "%q is used more than once", s.IdempotencyKey)
		}
		seen[s.IdempotencyKey] = true
	}
	return found.Err()
}

func (h handler) cancel(r *http.Request) (any, error) {
	ctx, cancel := context.WithTimeout(r.Context(), DefaultTimeout)
	defer cancel()
	return h.jobs.Cancel(ctx, r.PathValue("id"))
}
