package scheduler

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/peridotlock/peridotlock/api/problem"
	"github.com/peridotlock/peridotlock/api/query"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/membership"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// logFresh is the oldest view of the settings with which the log counts as
// available.
const logFresh = 5 * time.Second

// settingsQueries implements query.Settings.
type settingsQueries struct{ s *Scheduler }

func (q settingsQueries) check() error {
	if ok, reason := q.s.follow.Ready(); !ok {
		return problem.NotReady("settings are not known yet: %s", reason)
	}
	return nil
}

// View implements query.Settings.
func (q settingsQueries) View(context.Context) (*settings.View, error) {
	return q.s.settings.View(), q.check()
}

// History implements query.Settings.
func (q settingsQueries) History(_ context.Context, n int) ([]settings.Change, error) {
	return q.s.settings.History(n), q.check()
}

// Document implements query.Settings.
func (q settingsQueries) Document(_ context.Context, path fleet.Path, revision platform.Offset) (query.Document, error) {
	if err := q.check(); err != nil {
		return query.Document{}, err
	}
	doc, base, err := q.document(path, revision)
	if err != nil {
		return query.Document{}, problem.Missing("%v", err)
	}
	return query.Document{Document: doc, Base: base}, nil
}

func (q settingsQueries) document(path fleet.Path, revision platform.Offset) (settings.Document, platform.Offset, error) {
	if revision == query.Present {
		return q.s.settings.Current(path)
	}
	return q.s.settings.Document(path, revision)
}

// Effective implements query.Settings.
func (q settingsQueries) Effective(_ context.Context, path fleet.Path) ([]settings.Effective, error) {
	if err := q.check(); err != nil {
		return nil, err
	}
	out, ok := q.s.settings.Effective(path)
	if !ok {
		return nil, problem.Missing("no branch %q", path)
	}
	return out, nil
}

// jobQueries implements query.Jobs.
type jobQueries struct{ s *Scheduler }

// Show implements query.Jobs.
func (q jobQueries) Show(ctx context.Context, id string) (job.Status, error) {
	st, err := q.s.client.Show(ctx, id)
	if err != nil {
		return job.Status{}, jobError(err)
	}
	return st, nil
}

// List implements query.Jobs.
func (q jobQueries) List(ctx context.Context, f query.JobFilter) ([]job.Status, error) {
	v := q.s.view()
	if v == nil {
		return nil, problem.NotReady("settings are not known yet")
	}
	var out []job.Status
	for _, t := range v.Teams {
		if f.Team != "" && f.Team != t.Path {
			continue
		}
		jobs, err := q.s.client.List(ctx, t.Path, f.Limit)
		if err != nil {
			return nil, jobError(err)
		}
		out = append(out, slices.DeleteFunc(jobs, func(j job.Status) bool { return f.State != "" && j.State != f.State })...)
	}
	slices.SortStableFunc(out, func(a, b job.Status) int { return b.Submitted.Compare(a.Submitted) })
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[:f.Limit]
	}
	return out, nil
}

// Explain implements query.Jobs.
func (q jobQueries) Explain(ctx context.Context, id string) ([]query.Explanation, error) {
	st, err := q.s.client.Explain(ctx, id)
	if err != nil {
		return nil, jobError(err)
	}
	out := make([]query.Explanation, len(st.Tasks))
	for i, t := range st.Tasks {
		out[i] = query.Explanation{Task: t.ID, State: t.State, VM: t.VM, Reasons: t.Explain}
	}
	return out, nil
}

// vmQueries implements query.VMs.
type vmQueries struct{ s *Scheduler }

// VMs implements query.VMs.
func (q vmQueries) VMs(context.Context) ([]query.VM, error) {
	states := make(map[string]membership.State)
	for _, m := range q.s.members.Members() {
		states[m.ID] = m.State
	}
	v := q.s.view()
	var out []query.VM
	for _, vm := range q.s.vms() {
		state, known := states[vm.ID]
		out = append(out, query.VM{
			VM:          vm,
			Out:         v != nil && v.IsOut(vm.FailureDomain),
			Unreachable: known && (state == membership.Suspect || state == membership.Dead),
		})
	}
	slices.SortFunc(out, func(a, b query.VM) int { return strings.Compare(a.ID, b.ID) })
	return out, nil
}

// statusQueries implements query.Statuses.
type statusQueries struct{ s *Scheduler }

// Status implements query.Statuses.
func (q statusQueries) Status(context.Context) (query.Status, error) {
	s := q.s
	out := query.Status{
		Node:          s.o.Node.Name,
		FailureDomain: s.o.Node.FailureDomain,
		Revision:      s.settings.View().Revision,
		SettingsAge:   s.settingsAge(),
		LiveVMs:       s.countMembers(membership.Live),
	}
	out.LogAvailable = out.SettingsAge < logFresh
	if err := s.ready(); err != nil {
		out.Reasons = []string{err.Error()}
	}
	out.Ready = len(out.Reasons) == 0
	for u := range s.claimer.Owned() {
		if u.Kind == ownership.Rack {
			out.Racks = append(out.Racks, u.Path)
			continue
		}
		out.Queues = append(out.Queues, u.Path)
	}
	slices.Sort(out.Racks)
	slices.Sort(out.Queues)
	return out, nil
}
