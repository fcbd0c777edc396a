package demo

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/standin/caller"
	"github.com/peridotlock/peridotlock/standin/ledger"
)

const (
	submitInterval = 2 * time.Second // between two batches of jobs
	submitTimeout  = 5 * time.Second // for a submission and its retries
)

// Outcomes of attempts in the ledger.
const (
	finished = "finished"
	stopped  = "stopped"
)

// batchTemplate is the job file of a batch; %[1]d is the number of the batch.
const batchTemplate = `jobs:
  - {name: certificates-%[1]d, team: zavod/certificates, kind: certificate-run, class: batch, count: 6, size: {milli-cpu: 1000, memory-mb: 1024}, run-time: 3s, idempotency-key: certificates-%[1]d}
  - {name: appraisals-%[1]d, team: zavod/appraisals, kind: tuning-appraisal, class: batch, count: 3, size: {milli-cpu: 1000, memory-mb: 2048}, run-time: 6s, failure-domains: [zavod/kontinent], idempotency-key: appraisals-%[1]d}
  - {name: spectra-%[1]d, team: zavod/appraisals, kind: tuning-appraisal, class: batch, count: 1, size: {milli-cpu: 1000, memory-mb: 1024, accelerators: 1}, run-time: 2s, idempotency-key: spectra-%[1]d}
  - {name: release-%[1]d, team: authority/releases, kind: production-release, class: batch, count: 2, size: {milli-cpu: 1000, memory-mb: 1024}, run-time: 3s, urgent: true, deadline: 30s, idempotency-key: release-%[1]d}
`

// tasksPerJob holds the number of tasks of each job in batchTemplate, in order.
var tasksPerJob = []int{6, 3, 1, 2}

// shapes returns the request mix of both services.
func shapes() []caller.RequestKind {
	return []caller.RequestKind{
		{Class: fleet.Idempotent, Method: http.MethodGet, Path: "/registry/pipes", Weight: 40, Bytes: 2 << 10},
		{Class: fleet.Idempotent, Method: http.MethodGet, Path: "/registry/pipes", Weight: 1, Bytes: 512 << 10},
		{Class: fleet.NonIdempotent, Method: http.MethodPost, Path: "/registry/records", Weight: 12, Bytes: 512},
		{Class: fleet.Watch, Method: http.MethodGet, Path: "/registry/watch", Weight: 1},
		{Class: fleet.Idempotent, Method: http.MethodGet, Path: "/order-desk/quotes", Weight: 30, Bytes: 1 << 10},
		{Class: fleet.NonIdempotent, Method: http.MethodPost, Path: "/order-desk/orders", Weight: 15, Bytes: 512},
		{Class: fleet.Watch, Method: http.MethodGet, Path: "/order-desk/watch", Weight: 1},
	}
}

// acceptedJob is a job that a scheduler accepted.
type acceptedJob struct {
	id    string
	tasks int
}

// submitter submits a batch of jobs every submitInterval.
type submitter struct {
	ctl *operatorClient
	dir string

	mu       sync.Mutex // protects the fields below
	accepted []acceptedJob
	failures []string
}

func newSubmitter(ctl *operatorClient, dir string) *submitter { return &submitter{ctl: ctl, dir: dir} }

func (s *submitter) run(ctx context.Context) {
	ticker := time.NewTicker(submitInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		if err := s.submit(context.WithoutCancel(ctx), n); err != nil {
			s.recordFailure(err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *submitter) submit(ctx context.Context, n int) error {
	file := filepath.Join(s.dir, fmt.Sprintf("jobs-%d.yaml", n))
	if err := os.WriteFile(file, fmt.Appendf(nil, batchTemplate, n), 0o600); err != nil {
		return err
	}
	list, err := s.submitFile(ctx, fmt.Sprintf("batch-%d", n), file)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, job := range list {
		s.accepted = append(s.accepted, acceptedJob{id: job.ID, tasks: tasksPerJob[i]})
	}
	return nil
}

// submitFile retries a submission under its key while a job is refused, for example
// during a takeover of its queue.
func (s *submitter) submitFile(ctx context.Context, key, file string) ([]submission, error) {
	deadline := time.Now().Add(submitTimeout)
	for {
		list, err := s.ctl.submit(ctx, key, file)
		if err == nil || time.Now().After(deadline) {
			return list, err
		}
		time.Sleep(retryInterval)
	}
}

func (s *submitter) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, err.Error())
}

// waitFinished waits until every accepted task has finished, for at most limit.
func (s *submitter) waitFinished(ctx context.Context, l *ledger.Ledger, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(submitInterval / 10)
	defer ticker.Stop()
	for len(s.unfinished(l)) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// unfinished returns the IDs of the accepted tasks that no worker has finished.
func (s *submitter) unfinished(l *ledger.Ledger) []string {
	done := make(map[string]bool)
	for _, r := range l.Runs(ledger.Filter{}) {
		done[r.Task] = done[r.Task] || r.Finished
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, job := range s.accepted {
		for i := range job.tasks {
			if task := fmt.Sprintf("%s/%d", job.id, i); !done[task] {
				out = append(out, task)
			}
		}
	}
	return out
}

// misreported returns a description of each job whose reported state contradicts
// the ledger. Reports may lag, so each job is checked again until limit has passed.
func (s *submitter) misreported(ctx context.Context, l *ledger.Ledger, limit time.Duration) []string {
	deadline := time.Now().Add(limit)
	open := make(map[string]bool)
	for _, task := range s.unfinished(l) {
		open[task[:strings.LastIndexByte(task, '/')]] = true
	}
	var out []string
	for _, job := range s.accepted {
		detail := s.check(ctx, job.id, open[job.id])
		for detail != "" && time.Now().Before(deadline) {
			time.Sleep(submitInterval / 10)
			detail = s.check(ctx, job.id, open[job.id])
		}
		if detail != "" {
			out = append(out, detail)
		}
	}
	return out
}

// check compares the reported state of a job with whether it has unfinished tasks.
// It returns a description of the difference, "" for none.
func (s *submitter) check(ctx context.Context, id string, open bool) string {
	state, err := s.ctl.show(ctx, id)
	if err != nil {
		return err.Error()
	}
	if (state.State == finished) == open {
		return fmt.Sprintf("job %s is reported as %s, has unfinished tasks: %t", id, state.State, open)
	}
	return ""
}
