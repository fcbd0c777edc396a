package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/peridotlock/peridotlock/entry"
	"github.com/peridotlock/peridotlock/entry/source"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/load/naive"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// Branches of the built-in site: two failure domains in the entries' region,
// and one across the link.
const (
	regionHome = fleet.Path("zavod/kontinent")
	regionAway = fleet.Path("zavod/primorje")
	domainOne  = fleet.Path("zavod/kontinent/zagreb-a")
	domainTwo  = fleet.Path("zavod/kontinent/osijek-a")
	domainAway = fleet.Path("zavod/primorje/split-a")
	serviceAll = fleet.Path("zavod/registry")
)

const (
	slots       = 8
	connections = 64
	linkTrip    = 24 * time.Millisecond // there and back across the link
	closeWait   = 5 * time.Second
)

// Kind names an implementation of the entry.
type Kind string

// The kinds of entry that are compared.
const (
	Peridotlock Kind = "peridotlock"
	Naive       Kind = "naive"
	Direct      Kind = "direct" // no entry at all
)

// SiteOptions size a site.
type SiteOptions struct {
	Kind        Kind
	Entries     int
	Endpoints   int // in the entries' region
	Away        int // across the link
	ServiceTime time.Duration
	Growth      float64
	LinkBytes   int64
	Free        bool // endpoints have a slot for each connection, so that none waits there
}

// Site is a number of entries in front of endpoints, on loopback.
type Site struct {
	Options   SiteOptions
	Ledger    *Ledger
	Endpoints []*Endpoint // those across the link last
	Entries   []*entry.Entry
	Targets   []string // base URLs
	servers   []*http.Server
	naive     []*naive.Entry
}

// NewSite starts a site.
func NewSite(o SiteOptions) (*Site, error) {
	s := &Site{Options: o, Ledger: NewLedger()}
	if err := s.startEndpoints(); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.startEntries(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Capacity returns the requests a second that the home endpoints can run with
// all slots busy.
func (s *Site) Capacity() float64 {
	busy := float64(s.Options.ServiceTime) * (1 + s.Options.Growth)
	return float64(s.Options.Endpoints*slots) / (busy / float64(time.Second))
}

func (s *Site) startEndpoints() error {
	busy := slots
	if s.Options.Free {
		busy = connections
	}
	for i := range s.Options.Endpoints + s.Options.Away {
		o := EndpointOptions{
			Slots: busy, Connections: connections, ServiceTime: s.Options.ServiceTime, Growth: s.Options.Growth, Ledger: s.Ledger,
		}
		if i >= s.Options.Endpoints {
			o.Distance = linkTrip
		}
		e, err := NewEndpoint(o)
		if err != nil {
			return err
		}
		s.Endpoints = append(s.Endpoints, e)
	}
	return nil
}

func (s *Site) startEntries() error {
	if s.Options.Kind == Direct {
		for _, e := range s.Endpoints {
			s.Targets = append(s.Targets, "http://"+e.Addr())
		}
		return nil
	}
	for i := range s.Options.Entries {
		if err := s.listen(s.newEntry(i)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) newEntry(i int) http.Handler {
	if s.Options.Kind == Naive {
		var addrs []string
		for _, e := range s.Endpoints {
			addrs = append(addrs, e.Addr())
		}
		n := naive.New(addrs)
		s.naive = append(s.naive, n)
		return n
	}
	e := entry.New(entry.Options{
		Name: entryName(i), FailureDomain: homeDomain(i), Log: logr.Discard(), Tracer: noop.NewTracerProvider().Tracer(""),
	})
	e.Apply(source.Snapshot{View: s.view(), VMs: s.vms()})
	s.Entries = append(s.Entries, e)
	return e
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (s *Site) listen(h http.Handler) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	server := &http.Server{Handler: h, ConnContext: entry.ConnContext}
	s.servers = append(s.servers, server)
	s.Targets = append(s.Targets, "http://"+l.Addr().String())
	go server.Serve(entry.Listener(l))
	return nil
}

func (s *Site) view() *settings.View {
	policy := settings.DefaultPolicy()
	if s.Options.LinkBytes > 0 {
		policy.Requests.LinkBytes = s.Options.LinkBytes
	}
	return &settings.View{
		Domains: []settings.FailureDomain{
			{Path: domainTwo, Region: regionHome}, {Path: domainOne, Region: regionHome}, {Path: domainAway, Region: regionAway},
		},
		Services: []settings.Service{{Path: serviceAll, Routes: []settings.Route{
			{Prefix: IdempotentPath, Class: fleet.Idempotent},
			{Prefix: NonIdempotentPath, Class: fleet.NonIdempotent},
			{Prefix: WatchPath, Class: fleet.Watch},
		}}},
		Policies: map[fleet.Path]settings.Policy{"": policy},
	}
}

func (s *Site) vms() []platform.VM {
	var vms []platform.VM
	for i := range s.Options.Entries {
		vms = append(vms, platform.VM{ID: entryName(i), Kind: platform.KindEntry, State: platform.VMLive, FailureDomain: homeDomain(i)})
	}
	for i, e := range s.Endpoints {
		vms = append(vms, platform.VM{
			ID: fmt.Sprintf("endpoint-%d", i), Kind: platform.KindEndpoint, State: platform.VMLive, Service: serviceAll,
			FailureDomain: s.domainOf(i), Address: e.Addr(), Slots: slots, Connections: connections,
		})
	}
	return vms
}

func (s *Site) domainOf(i int) fleet.Path {
	if i >= s.Options.Endpoints {
		return domainAway
	}
	return homeDomain(i)
}

// homeDomain spreads the VMs of the entries' region over its failure domains.
func homeDomain(i int) fleet.Path {
	if i%2 == 0 {
		return domainOne
	}
	return domainTwo
}

// Close stops the site.
func (s *Site) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	for _, server := range s.servers {
		if server.Shutdown(ctx) != nil {
			server.Close()
		}
	}
	for _, n := range s.naive {
		n.Close()
	}
	for _, e := range s.Endpoints {
		e.Stop()
	}
}
