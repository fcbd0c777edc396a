package owner

import (
	"context"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/rack"
)

// Service runs the racks that the process owns and serves them over net/rpc
// under rack.ServiceName.
type Service struct {
	opts   Options
	owners *ownership.Registry[Owner]
}

// NewService returns a service without racks.
func NewService(opts Options) *Service {
	return &Service{opts: opts, owners: ownership.NewRegistry[Owner]()}
}

// Run owns the rack at path under term until ctx ends.
func (s *Service) Run(ctx context.Context, path fleet.Path, term platform.Offset) {
	o := newOwner(s.opts, path, term)
	s.owners.Put(path, o)
	defer s.owners.Drop(path, o)
	s.opts.Log.Info("rack owned", "rack", path, "term", term)
	o.run(ctx)
	s.opts.Log.Info("rack released", "rack", path, "term", term)
}

func (s *Service) owner(path fleet.Path) (*Owner, rack.Code) {
	o := s.owners.Get(path)
	if o == nil {
		return nil, rack.NotOwner
	}
	return o, rack.OK
}

// Reserve implements the net/rpc method.
func (s *Service) Reserve(args rack.ReserveArgs, reply *rack.ReserveReply) error {
	o, code := s.owner(args.Rack)
	if o == nil {
		reply.Code = code
		return nil
	}
	o.with(func(st *rack.State, now time.Time, c rack.Conditions) { *reply = st.Reserve(now, c, args) })
	return nil
}

// Start implements the net/rpc method.
func (s *Service) Start(args rack.StartArgs, reply *rack.StartReply) error {
	o, code := s.owner(args.Rack)
	if o == nil || o.state.Term() != args.Term {
		reply.Code = rack.NotOwner
		return nil
	}
	reply.Code = code
	reply.Results = make([]rack.StartResult, len(args.Starts))
	var calls sync.WaitGroup
	for i, st := range args.Starts {
		calls.Go(func() { reply.Results[i] = o.start(context.Background(), args, st) })
	}
	calls.Wait()
	return nil
}

// Stop implements the net/rpc method.
func (s *Service) Stop(args rack.StopArgs, reply *rack.StopReply) error {
	o, code := s.owner(args.Rack)
	if o == nil {
		reply.Code = code
		return nil
	}
	o.with(func(st *rack.State, _ time.Time, _ rack.Conditions) { *reply = st.Stop(args) })
	return nil
}

// Resolve implements the net/rpc method.
func (s *Service) Resolve(args rack.ResolveArgs, reply *rack.ResolveReply) error {
	o, code := s.owner(args.Rack)
	if o == nil {
		reply.Code = code
		return nil
	}
	o.with(func(st *rack.State, now time.Time, c rack.Conditions) { *reply = st.Resolve(now, c, args) })
	return nil
}

// Summary implements the net/rpc method.
func (s *Service) Summary(args rack.SummaryArgs, reply *rack.SummaryReply) error {
	o, code := s.owner(args.Rack)
	if o == nil {
		reply.Code = code
		return nil
	}
	o.with(func(st *rack.State, now time.Time, c rack.Conditions) { reply.Summary = st.Summary(now, c) })
	return nil
}
