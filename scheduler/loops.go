package scheduler

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/membership"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue/owner"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
)

const (
	unitsEvery     = 250 * time.Millisecond // between looks at what this node owns
	snapshotsEvery = 5 * time.Second        // between looks at whether a snapshot is due
	decayEvery     = 30 * time.Second
	snapshotLimit  = time.Minute     // for one snapshot
	jobsWait       = 5 * time.Second // of a long poll for records of a queue, which its owner mostly writes itself
)

// every calls f at the interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// running is a unit that this node works on.
type running struct {
	term platform.Offset
	stop context.CancelFunc
	done chan struct{}
}

// runUnits starts the owner of each unit that this node holds and stops those
// whose claim was superseded.
func (s *Scheduler) runUnits(ctx context.Context) error {
	units := make(map[ownership.Unit]running)
	err := every(ctx, unitsEvery, func() {
		owned := s.claimer.Owned()
		stopLost(units, owned)
		s.startOwned(ctx, units, owned)
	})
	for _, r := range units {
		r.stop()
		<-r.done
	}
	return err
}

func stopLost(units map[ownership.Unit]running, owned map[ownership.Unit]platform.Offset) {
	for u, r := range units {
		if term, ok := owned[u]; ok && term == r.term {
			continue
		}
		r.stop()
		<-r.done
		delete(units, u)
	}
}

func (s *Scheduler) startOwned(ctx context.Context, units map[ownership.Unit]running, owned map[ownership.Unit]platform.Offset) {
	for u, term := range owned {
		if _, ok := units[u]; ok {
			continue
		}
		unitCtx, stop := context.WithCancel(ctx)
		r := running{term: term, stop: stop, done: make(chan struct{})}
		units[u] = r
		go func() {
			defer close(r.done)
			s.runUnit(unitCtx, u, term)
		}()
	}
}

func (s *Scheduler) runUnit(ctx context.Context, u ownership.Unit, term platform.Offset) {
	if u.Kind == ownership.Rack {
		s.racks.Run(ctx, u.Path, term)
		return
	}
	s.queues.Run(ctx, u.Path, term)
}

// runRelay publishes the newest settings and list to the entry and to peers,
// and counts this node itself as having them in force.
func (s *Scheduler) runRelay(ctx context.Context) error {
	var listed time.Time
	for ctx.Err() == nil {
		settingsChanged, membersChanged := s.follow.Changed(), s.members.Changed()
		listed = s.relayList(listed)
		s.relaySettings()
		select {
		case <-ctx.Done():
		case <-settingsChanged:
		case <-membersChanged:
		case <-time.After(unitsEvery):
		}
	}
	return nil
}

// relayList publishes the list of VMs if it is newer than that of the time
// given, and returns the time of the newest.
func (s *Scheduler) relayList(published time.Time) time.Time {
	list := s.members.List()
	if !list.AsOf.After(published) {
		return published
	}
	if err := s.relay.SetVMs(list); err != nil {
		s.log.Error(err, "list of VMs not relayed")
		return published
	}
	return list.AsOf
}

func (s *Scheduler) relaySettings() {
	v := s.view()
	if v == nil {
		return
	}
	s.relay.SetView(v)
	s.relay.Acknowledge(s.o.Node.Name, schedulerProcess, v.Revision)
	s.writer.SetBudget(logPolicy(v).AppendsPerSecond)
	if s.o.Applied != nil {
		s.o.Applied(v)
	}
}

// logPolicy returns the log policy of a view, or the defaults where it is unset.
func logPolicy(v *settings.View) settings.LogPolicy {
	p := settings.DefaultLogPolicy()
	if v == nil {
		return p
	}
	if v.Log.AppendsPerSecond > 0 {
		p.AppendsPerSecond = v.Log.AppendsPerSecond
	}
	if v.Log.SnapshotEvery > 0 {
		p.SnapshotEvery = v.Log.SnapshotEvery
	}
	return p
}

// runSnapshots publishes snapshots of the shared streams when they are due.
func (s *Scheduler) runSnapshots(ctx context.Context) error {
	var began time.Time
	return every(ctx, snapshotsEvery, func() {
		if ok, _ := s.follow.Ready(); !ok {
			return
		}
		if began.IsZero() {
			began = time.Now()
		}
		rank := s.rank()
		for _, r := range []*stream.Replica{s.follow, s.ownership} {
			s.snapshotIfDue(ctx, r, rank, time.Since(began))
		}
	})
}

func (s *Scheduler) snapshotIfDue(ctx context.Context, r *stream.Replica, rank int, ready time.Duration) {
	st := r.SnapshotState(time.Now())
	st.Every = logPolicy(s.view()).SnapshotEvery
	st.Running = ready
	st.Rank = rank
	st.Jitter = s.jitter()
	if !stream.SnapshotDue(st) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotLimit)
	defer cancel()
	if err := r.WriteSnapshot(ctx, s.writer); err != nil {
		s.log.Info("snapshot not written", "stream", r.Name(), "error", err.Error())
	}
}

// rank returns this node's place among the live nodes.
func (s *Scheduler) rank() int {
	rank := 0
	for _, m := range s.members.Members() {
		if m.State == membership.Live && m.ID < s.o.Node.Name {
			rank++
		}
	}
	return rank
}

// jitter returns a figure in [0, 1) that is fixed for the node.
func (s *Scheduler) jitter() float64 {
	h := fnv.New32a()
	h.Write([]byte(s.o.Node.Name))
	return float64(h.Sum32()) / (1 << 32)
}

// followJobs follows the stream of a queue that this node owns, and publishes
// its snapshots.
func (s *Scheduler) followJobs(ctx context.Context, name string, m stream.Machine) owner.Replica {
	r := stream.NewReplica(s.o.Log, name, m, stream.ReplicaOptions{Wait: jobsWait, Logger: s.log})
	began := time.Now()
	var work sync.WaitGroup
	work.Go(func() { r.Run(ctx) })
	work.Go(func() {
		every(ctx, snapshotsEvery, func() {
			if ok, _ := r.Ready(); ok {
				s.snapshotIfDue(ctx, r, 0, time.Since(began))
			}
		})
	})
	return r
}

// runDecay lets the model of slowdowns forget.
func (s *Scheduler) runDecay(ctx context.Context) error {
	return every(ctx, decayEvery, func() { s.model.Decay(decayEvery) })
}
