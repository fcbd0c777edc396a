package owner

import (
	"context"
	"errors"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
)

// Service runs the queues that the process owns and serves them over net/rpc
// under queue.ServiceName.
type Service struct {
	opts   Options
	owners *ownership.Registry[Owner]
}

// NewService returns a service without queues.
func NewService(opts Options) *Service {
	return &Service{opts: opts, owners: ownership.NewRegistry[Owner]()}
}

// Run owns the queue of the team at path under term until ctx ends.
func (s *Service) Run(ctx context.Context, path fleet.Path, term platform.Offset) {
	o := newOwner(s.opts, path, term)
	s.owners.Put(path, o)
	defer s.owners.Drop(path, o)
	o.run(ctx)
	s.opts.Log.Info("queue released", "queue", path, "term", term)
}

func (s *Service) owner(path fleet.Path) (*Owner, queue.Code) {
	o := s.owners.Get(path)
	if o == nil {
		return nil, queue.NotOwner
	}
	if !o.isReady() {
		return nil, queue.NotReady
	}
	return o, queue.OK
}

// Submit implements the net/rpc method.
func (s *Service) Submit(args queue.SubmitArgs, reply *queue.SubmitReply) error {
	o, code := s.owner(args.Spec.Team)
	if reply.Code = code; o != nil {
		*reply = o.submit(context.Background(), args.Spec)
	}
	return nil
}

// Cancel implements the net/rpc method.
func (s *Service) Cancel(args queue.JobArgs, reply *queue.JobReply) error {
	return s.withJob(args, reply, (*Owner).cancel)
}

// Show implements the net/rpc method.
func (s *Service) Show(args queue.JobArgs, reply *queue.JobReply) error {
	return s.withJob(args, reply, (*Owner).show)
}

// Explain implements the net/rpc method.
func (s *Service) Explain(args queue.JobArgs, reply *queue.JobReply) error {
	return s.withJob(args, reply, (*Owner).explainJob)
}

func (s *Service) withJob(args queue.JobArgs, reply *queue.JobReply, f func(*Owner, uint64, string) queue.JobReply) error {
	team, number, ok := queue.ParseJobID(args.ID)
	if !ok {
		reply.Code = queue.UnknownJob
		return nil
	}
	o, code := s.owner(team)
	if reply.Code = code; o != nil {
		*reply = f(o, number, args.Reason)
	}
	return nil
}

// List implements the net/rpc method.
func (s *Service) List(args queue.ListArgs, reply *queue.ListReply) error {
	o, code := s.owner(args.Queue)
	if reply.Code = code; o != nil {
		reply.Jobs = o.list(args.Limit)
	}
	return nil
}

// Events implements the net/rpc method.
func (s *Service) Events(args queue.EventsArgs, reply *queue.EventsReply) error {
	o, code := s.owner(args.Queue)
	if reply.Code = code; o != nil {
		reply.Code = o.events(context.Background(), args.Events)
		o.racks.expire(args.Rack)
	}
	return nil
}

// codeOf maps the error of a record to the code of an answer.
func codeOf(err error) queue.Code {
	switch {
	case err == nil:
		return queue.OK
	case errors.Is(err, errSuperseded):
		return queue.NotOwner
	case errors.Is(err, platform.ErrUnavailable):
		return queue.LogUnavailable
	}
	return queue.InDoubt
}
