package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/api/query"
	"github.com/peridotlock/peridotlock/membership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/relay"
)

// Names of the processes that acknowledge revisions.
const (
	schedulerProcess = "scheduler"
	entryProcess     = "entry"
)

const (
	acksTimeout  = 2 * time.Second
	acksParallel = 16 // peers asked at a time
)

// InForce implements query.Settings: it asks the scheduler of each live VM
// which revisions its processes have acknowledged.
func (q settingsQueries) InForce(ctx context.Context, revision platform.Offset) (query.InForce, error) {
	if err := q.check(); err != nil {
		return query.InForce{}, err
	}
	if revision == query.Present {
		revision = q.s.settings.View().Revision
	}
	out := query.InForce{Revision: revision, Complete: true}
	for _, acks := range q.s.askAll(ctx, q.s.listening(), revision) {
		out.VMs = append(out.VMs, acks...)
	}
	for _, a := range out.VMs {
		out.Complete = out.Complete && a.Acknowledged
	}
	return out, nil
}

// listening returns the members that should have the settings in force: those
// that the peers know as live, and those on the platform's list that the peers
// have given up, since their entries may still serve requests.
func (s *Scheduler) listening() []membership.Member {
	var out []membership.Member
	known := make(map[string]bool)
	for _, m := range s.members.Members() {
		if m.State == membership.Dead {
			continue
		}
		known[m.ID] = true
		if m.State != membership.Leaving {
			out = append(out, m)
		}
	}
	for _, vm := range s.vms() {
		if vm.Kind == platform.KindEntry && vm.State == platform.VMLive && !known[vm.ID] {
			out = append(out, membership.Member{ID: vm.ID, FailureDomain: vm.FailureDomain, Control: vm.Control})
		}
	}
	return out
}

func (s *Scheduler) askAll(ctx context.Context, members []membership.Member, revision platform.Offset) [][]query.Acknowledgement {
	out := make([][]query.Acknowledgement, len(members))
	slots := make(chan struct{}, acksParallel)
	var calls sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			out[i] = s.ask(ctx, m, revision)
		})
	}
	calls.Wait()
	return out
}

// ask returns the acknowledgements of both processes of a VM. One that can't
// be learned counts as missing.
func (s *Scheduler) ask(ctx context.Context, m membership.Member, revision platform.Offset) []query.Acknowledgement {
	known := make(map[string]relay.Ack)
	for _, a := range s.acksOf(ctx, m) {
		if a.Node == m.ID {
			known[a.Process] = a
		}
	}
	var out []query.Acknowledgement
	for _, process := range []string{schedulerProcess, entryProcess} {
		ack := query.Acknowledgement{VM: m.ID, Process: process, Revision: -1}
		if a, ok := known[process]; ok {
			ack.Revision = a.Revision
			ack.Acknowledged = a.Revision >= revision
			ack.Age = time.Since(time.Unix(0, a.At))
		}
		out = append(out, ack)
	}
	return out
}

func (s *Scheduler) acksOf(ctx context.Context, m membership.Member) []relay.Ack {
	if m.ID == s.o.Node.Name {
		return s.relay.Acks()
	}
	ctx, cancel := context.WithTimeout(ctx, acksTimeout)
	defer cancel()
	var r relay.AcksReply
	if err := s.pool.Client(m.Control).Call(ctx, relay.ServiceName+".Acks", relay.AcksArgs{}, &r); err != nil {
		s.log.V(1).Info("acknowledgements not learned", "vm", m.ID, "error", err.Error())
		return nil
	}
	return r.Acks
}
