package owner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/rack"
)

const (
	rackTimeout = 3 * time.Second // of a call to a rack owner
	summaryAge  = 2 * time.Second // older summaries may be fetched again

	leastAsked   = 4  // racks asked in a round
	tasksPerRack = 16 // waiting tasks for each further rack asked
)

// racks calls the owners of racks and caches what they have free.
type racks struct {
	opts Options

	mu        sync.Mutex // protects all below
	summaries map[fleet.Path]cached
}

type cached struct {
	summary rack.Summary
	at      time.Time
}

func newRacks(opts Options) *racks {
	return &racks{opts: opts, summaries: make(map[fleet.Path]cached)}
}

// call calls a method of the owner of the rack at path.
func (r *racks) call(ctx context.Context, path fleet.Path, method string, args, reply any) error {
	_, addr, ok := r.opts.Directory.Owner(ownership.Unit{Kind: ownership.Rack, Path: path})
	if !ok {
		return errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, rackTimeout)
	defer cancel()
	return r.opts.Pool.Client(addr).Call(ctx, rack.ServiceName+"."+method, args, reply)
}

// term returns the term of the current owner of the rack.
func (r *racks) term(path fleet.Path) (platform.Offset, bool) {
	claim, _, ok := r.opts.Directory.Owner(ownership.Unit{Kind: ownership.Rack, Path: path})
	return claim.Term, ok
}

// paths returns the racks that have workers.
func (r *racks) paths() []fleet.Path {
	seen := make(map[fleet.Path]bool)
	var out []fleet.Path
	for _, vm := range r.opts.VMs() {
		if vm.Kind == platform.KindWorker && !seen[vm.Rack] {
			seen[vm.Rack] = true
			out = append(out, vm.Rack)
		}
	}
	return out
}

// refresh fetches the summaries of a few racks for a number of waiting tasks:
// those not known yet in random order, then the oldest.
func (r *racks) refresh(ctx context.Context, waiting int) {
	var calls sync.WaitGroup
	for _, path := range r.stale(leastAsked + waiting/tasksPerRack) {
		calls.Go(func() {
			var reply rack.SummaryReply
			err := r.call(ctx, path, "Summary", rack.SummaryArgs{Rack: path}, &reply)
			if err != nil || reply.Code != rack.OK {
				reply.Summary = rack.Summary{Rack: path}
			}
			r.store(reply.Summary)
		})
	}
	calls.Wait()
}

// stale returns at most limit racks whose summaries are too old, oldest first.
func (r *racks) stale(limit int) []fleet.Path {
	paths := r.paths()
	rand.Shuffle(len(paths), func(i, j int) { paths[i], paths[j] = paths[j], paths[i] })
	r.mu.Lock()
	defer r.mu.Unlock()
	paths = slices.DeleteFunc(paths, func(p fleet.Path) bool { return time.Since(r.summaries[p].at) < summaryAge })
	slices.SortStableFunc(paths, func(a, b fleet.Path) int { return r.summaries[a].at.Compare(r.summaries[b].at) })
	return paths[:min(len(paths), limit)]
}

// hasUnknown reports whether a rack was never asked.
func (r *racks) hasUnknown() bool {
	paths := r.paths()
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(paths, func(p fleet.Path) bool {
		_, ok := r.summaries[p]
		return !ok
	})
}

// wantsSummary reports whether a reservation at the rack is to bring a summary.
func (r *racks) wantsSummary(path fleet.Path) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.summaries[path].at) >= summaryAge/2
}

func (r *racks) store(s rack.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summaries[s.Rack] = cached{summary: s, at: time.Now()}
}

// expire makes the rack one of the first to be asked again.
func (r *racks) expire(path fleet.Path) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.summaries[path]
	c.at = time.Time{}
	r.summaries[path] = c
}

// choose calls f with a choice over the cached summaries and keeps what it
// gave out deducted.
func (r *racks) choose(f func(c *queue.Chooser)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []rack.Summary
	for _, c := range r.summaries {
		all = append(all, c.summary)
	}
	chooser := queue.NewChooser(all)
	f(chooser)
	for _, s := range chooser.Summaries() {
		r.summaries[s.Rack] = cached{summary: s, at: r.summaries[s.Rack].at}
	}
}
