package balance

import (
	"math"

	"github.com/peridotlock/peridotlock/entry/pool"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

const (
	defaultSlots       = 8
	defaultConnections = 64
)

// Registry holds the endpoints that this entry knows, and updates sets from
// snapshots. It is used by one goroutine.
type Registry struct {
	self      string
	domain    fleet.Path
	endpoints map[string]*Endpoint
}

// NewRegistry returns an empty registry for the entry self in domain.
func NewRegistry(self string, domain fleet.Path) *Registry {
	return &Registry{self: self, domain: domain, endpoints: make(map[string]*Endpoint)}
}

// Update puts the endpoints that may get work into their sets. Endpoints that
// are gone from the list lose their idle connections; requests in flight go on.
func (r *Registry) Update(view *settings.View, vms []platform.VM, sets []*Set) {
	live := entries(vms, r.self)
	lists := make(map[fleet.Path]*members, len(sets))
	for _, s := range sets {
		lists[s.Service] = &members{}
	}
	known := make(map[string]bool, len(vms))
	for _, vm := range vms {
		m, ok := lists[vm.Service]
		if vm.Kind != platform.KindEndpoint || !ok {
			continue
		}
		known[key(vm)] = true
		e := r.endpoint(vm, live)
		if vm.State == platform.VMLive && !view.IsOut(vm.FailureDomain) {
			r.place(m, view, e)
		}
	}
	r.forget(known)
	for _, s := range sets {
		m := lists[s.Service]
		share := view.PolicyAt(s.Service).Requests.EjectShare
		m.eject = int(math.Floor(share * float64(len(m.local)+len(m.remote))))
		s.members.Store(m)
	}
}

func (r *Registry) place(m *members, view *settings.View, e *Endpoint) {
	home, away := view.Region(r.domain), view.Region(e.Domain)
	switch {
	case r.domain.Contains(e.Domain):
		m.local = append(m.local, member{e, 0})
	case home == away:
		m.local = append(m.local, member{e, distanceDomain})
	default:
		m.remote = append(m.remote, member{e, distanceRegion})
	}
}

func (r *Registry) endpoint(vm platform.VM, live []string) *Endpoint {
	k := key(vm)
	e, ok := r.endpoints[k]
	if !ok {
		e = &Endpoint{ID: vm.ID, Address: vm.Address, Domain: vm.FailureDomain, Pool: pool.New(vm.Address, 1)}
		r.endpoints[k] = e
	}
	e.Limit.SetShare(Share(orDefault(vm.Slots, defaultSlots), vm.ID, r.self, live))
	e.Pool.SetMax(max(1, orDefault(vm.Connections, defaultConnections)/max(1, len(live))))
	return e
}

func (r *Registry) forget(known map[string]bool) {
	for k, e := range r.endpoints {
		if !known[k] {
			e.Pool.Retire()
			delete(r.endpoints, k)
		}
	}
}

// Close forgets all endpoints.
func (r *Registry) Close() { r.forget(nil) }

// key tells a VM that came back under its name at another address apart.
func key(vm platform.VM) string { return vm.ID + "\x00" + vm.Address }

// entries returns the live entries; self is one of them whatever the list says.
func entries(vms []platform.VM, self string) []string {
	ids := []string{self}
	for _, vm := range vms {
		if vm.Kind == platform.KindEntry && vm.State == platform.VMLive && vm.ID != self {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

func orDefault(n, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return n
}
