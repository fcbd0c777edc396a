package scheduler

import (
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/membership"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/relay"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
)

// view returns the newest settings, or nil before the first are known.
func (s *Scheduler) view() *settings.View {
	if ok, _ := s.follow.Ready(); !ok {
		return nil
	}
	return s.settings.View()
}

// viewAndAge returns the newest settings and how long ago they were known to
// be the newest.
func (s *Scheduler) viewAndAge() (*settings.View, time.Duration) {
	age := s.settingsAge()
	return s.view(), age
}

func (s *Scheduler) settingsAge() time.Duration { return s.follow.Age(time.Now()) }

func (s *Scheduler) claimAge() time.Duration { return s.ownership.Age(time.Now()) }

func (s *Scheduler) vms() []platform.VM { return s.members.List().VMs }

// region returns the region of a failure domain by the settings, or its parent
// branch while they are unknown.
func (s *Scheduler) region(domain fleet.Path) fleet.Path {
	if v := s.view(); v != nil {
		if r := v.Region(domain); r != "" {
			return r
		}
	}
	return domain.Parent()
}

// units returns all racks of the platform's list and the queues of all teams.
func (s *Scheduler) units() []ownership.PlacedUnit {
	var out []ownership.PlacedUnit
	seen := make(map[fleet.Path]bool)
	for _, vm := range s.vms() {
		if vm.Kind != platform.KindWorker || seen[vm.Rack] {
			continue
		}
		seen[vm.Rack] = true
		unit := ownership.Unit{Kind: ownership.Rack, Path: vm.Rack}
		out = append(out, ownership.PlacedUnit{Unit: unit, FailureDomain: vm.FailureDomain})
	}
	v := s.view()
	if v == nil {
		return out
	}
	for _, t := range v.Teams {
		out = append(out, ownership.PlacedUnit{Unit: ownership.Unit{Kind: ownership.Queue, Path: t.Path}})
	}
	return out
}

// duty is something that one node reads for its failure domain. Different nodes
// have the duties, so that none serves all its neighbours with everything.
type duty int

const (
	readSettings duty = iota
	readClaims
	readList
)

// peer returns whom to follow in place of the log: the live node of the failure
// domain that has the duty reads the log, the others follow it. A node that
// knows nothing yet may ask any live node.
func (s *Scheduler) peer(d duty) stream.Source {
	reader, anyone := s.readers(d)
	if reader.ID != "" && reader.ID != s.o.Node.Name {
		return relay.Peer(s.pool, reader.Control)
	}
	if s.view() == nil && anyone.ID != "" {
		return relay.Peer(s.pool, anyone.Control)
	}
	return nil
}

// listReader returns the address of the node that reads the list of VMs for
// this failure domain, or "" when that is this node or unknown.
func (s *Scheduler) listReader() string {
	reader, _ := s.readers(readList)
	if reader.ID == s.o.Node.Name {
		return ""
	}
	return reader.Control
}

// readers returns the live node of this failure domain that has the duty, and
// the first other live node anywhere.
func (s *Scheduler) readers(d duty) (reader, anyone membership.Member) {
	var near []membership.Member
	for _, m := range s.members.Members() {
		if m.State != membership.Live {
			continue
		}
		if m.FailureDomain == s.o.Node.FailureDomain {
			near = append(near, m)
		}
		if m.ID != s.o.Node.Name && anyone.ID == "" {
			anyone = m
		}
	}
	if len(near) == 0 {
		return reader, anyone
	}
	return near[int(d)%len(near)], anyone
}
