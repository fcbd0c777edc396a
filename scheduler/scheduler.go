// Package scheduler builds the scheduler of one VM from its parts: it follows
// the platform's log, relays settings, owns racks and queues and serves the
// operators.
package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/api"
	"github.com/peridotlock/peridotlock/api/query"
	"github.com/peridotlock/peridotlock/config"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/membership"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	queueowner "github.com/peridotlock/peridotlock/queue/owner"
	"github.com/peridotlock/peridotlock/rack"
	rackowner "github.com/peridotlock/peridotlock/rack/owner"
	"github.com/peridotlock/peridotlock/relay"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
	"github.com/peridotlock/peridotlock/wire"
)

// Options are what a scheduler works with.
type Options struct {
	Node    config.Node
	Log     platform.Log
	VMs     platform.VMList
	Workers func(addr string) platform.Worker
	Logger  logr.Logger
	Applied func(v *settings.View) // called with the view in force at intervals; may be nil
}

// Scheduler is the scheduler of one VM.
type Scheduler struct {
	o    Options
	pool *wire.Pool
	log  logr.Logger

	writer    *stream.LogWriter
	settings  *settings.Machine
	follow    *stream.Replica // of the settings
	claims    *ownership.Machine
	ownership *stream.Replica
	members   *membership.Prober
	claimer   *ownership.Claimer
	directory *ownership.MachineDirectory
	relay     *relay.Server
	racks     *rackowner.Service
	queues    *queueowner.Service
	client    *queue.Client
	model     *interference.Learned
	metrics   *metrics.Set
}

// New builds a scheduler; nothing runs yet.
func New(o Options) *Scheduler {
	s := &Scheduler{
		o:        o,
		pool:     wire.NewPool(),
		log:      o.Logger,
		settings: settings.NewMachine(),
		claims:   ownership.NewMachine(),
		model:    interference.NewLearned(interference.Options{}),
		metrics:  metrics.NewSet(),
	}
	s.buildStreams()
	s.buildOwners()
	s.registerMetrics()
	return s
}

func (s *Scheduler) buildStreams() {
	defaults := settings.DefaultLogPolicy()
	s.writer = stream.NewWriter(s.o.Log, stream.WriterOptions{AppendsPerSecond: defaults.AppendsPerSecond, Logger: s.log})
	s.follow = s.newReplica(stream.SettingsStream, s.settings, func() stream.Source { return s.peer(readSettings) })
	s.ownership = s.newReplica(stream.OwnershipStream, s.claims, func() stream.Source { return s.peer(readClaims) })
	self := membership.Update{ID: s.o.Node.Name, FailureDomain: s.o.Node.FailureDomain, Control: s.o.Node.Control}
	s.members = membership.NewProber(self, relay.NewLister(s.o.VMs, s.pool, s.listReader).VMs, membership.PoolTransport{Pool: s.pool}, membership.ProberOptions{
		Options: membership.Options{Region: s.region},
		Logger:  s.log,
	})
	s.relay = relay.NewServer(s.settingsAge, s.follow, s.ownership)
	s.directory = ownership.NewDirectory(s.claims, s.ownership, s.members.Members)
	s.claimer = ownership.NewClaimer(s.claims, s.ownership, s.writer, ownership.ClaimerOptions{
		Self:    s.o.Node.Name,
		Members: s.members.Members,
		Units:   s.units,
		Region:  s.region,
		Logger:  s.log,
	})
}

func (s *Scheduler) buildOwners() {
	s.racks = rackowner.NewService(rackowner.Options{
		Workers:   s.o.Workers,
		VMs:       s.vms,
		View:      s.viewAndAge,
		ClaimAge:  s.claimAge,
		Directory: s.directory,
		Pool:      s.pool,
		Model:     s.model,
		Log:       s.log,
	})
	s.queues = queueowner.NewService(queueowner.Options{
		Writer:    s.writer,
		Follow:    s.followJobs,
		VMs:       s.vms,
		View:      s.viewAndAge,
		Directory: s.directory,
		Pool:      s.pool,
		Log:       s.log,
	})
	s.client = queue.NewClient(s.directory, s.pool)
}

func (s *Scheduler) newReplica(name string, m stream.Machine, peer func() stream.Source) *stream.Replica {
	o := stream.ReplicaOptions{Peer: peer, Logger: s.log}
	if name != stream.SettingsStream {
		o.Wait, o.PeerWait = relaxedWait, relaxedWait
	}
	return stream.NewReplica(s.o.Log, name, m, o)
}

// relaxedWait is the longest wait of a read where the age of the view decides
// nothing within seconds.
const relaxedWait = 2 * time.Second

// Listeners are the sockets of a scheduler.
type Listeners struct {
	Control   net.Listener // net/rpc of peers and of the entry
	Operators net.Listener // HTTP
}

// Run serves and works until ctx ends; then it lets peers know, gives up its
// units, and returns when all its work has ended.
func (s *Scheduler) Run(ctx context.Context, l Listeners) error {
	server, err := s.services()
	if err != nil {
		return err
	}
	defer s.pool.Close()
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := newGroup(working)
	group.start("shutdown", func(working context.Context) error {
		defer stop()
		s.leave(ctx, working)
		return nil
	})
	group.start("writer", s.writer.Run)
	group.start("settings", s.follow.Run)
	group.start("ownership", s.ownership.Run)
	group.start("members", s.members.Run)
	group.start("claimer", s.claimer.Run)
	group.start("units", s.runUnits)
	group.start("relay", s.runRelay)
	group.start("snapshots", s.runSnapshots)
	group.start("decay", s.runDecay)
	group.start("control", func(ctx context.Context) error { return server.Serve(ctx, l.Control) })
	group.start("operators", func(ctx context.Context) error { return s.serveOperators(ctx, l.Operators) })
	return group.wait()
}

// services registers what peers and the entry call.
func (s *Scheduler) services() (*wire.Server, error) {
	server := wire.NewServer()
	err := errors.Join(
		server.Register(relay.ServiceName, s.relay.Service()),
		server.Register(membership.ServiceName, s.members.Service()),
		server.Register(rack.ServiceName, s.racks),
		server.Register(queue.ServiceName, s.queues),
	)
	if err != nil {
		return nil, fmt.Errorf("services for peers: %w", err)
	}
	return server, nil
}

// Bounds of the operators' server.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	shutdownTimeout   = 5 * time.Second
)

func (s *Scheduler) serveOperators(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.operators(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	stop := context.AfterFunc(ctx, func() {
		limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		server.Shutdown(limit)
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// operators returns the operators' interface, health and metrics.
func (s *Scheduler) operators() http.Handler {
	handler := api.New(api.Options{
		Token:    s.o.Node.OperatorsToken,
		Settings: publisher{s},
		Jobs:     jobCommands{s},
		Queries: query.Handlers{
			Settings: settingsQueries{s},
			Jobs:     jobQueries{s},
			VMs:      vmQueries{s},
			Status:   statusQueries{s},
		},
	})
	mux := s.health()
	mux.Handle("/v1/", handler)
	return mux
}
