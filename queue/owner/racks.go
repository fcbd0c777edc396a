package owner

import (
	"context"
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
	summaryAge  = 2 * time.Second // older summaries are fetched again
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

// refresh fetches the summaries that are too old.
func (r *racks) refresh(ctx context.Context) {
	var calls sync.WaitGroup
	for _, path := range r.paths() {
		if r.isFresh(path) {
			continue
		}
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

func (r *racks) isFresh(path fleet.Path) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.summaries[path].at) < summaryAge
}

func (r *racks) store(s rack.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summaries[s.Rack] = cached{summary: s, at: time.Now()}
}

// forget makes the next refresh fetch the summary again.
func (r *racks) forget(path fleet.Path) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.summaries, path)
}

// chooser returns a choice of racks over a copy of the summaries.
func (r *racks) chooser() *queue.Chooser {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []rack.Summary
	for _, c := range r.summaries {
		all = append(all, c.summary)
	}
	return queue.NewChooser(all)
}
