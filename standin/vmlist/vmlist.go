// Package vmlist stands in for the platform's lagging list of VMs.
package vmlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotlock/peridotlock/platform"
)

// List is the list of VMs; what it answers is as old as its lag.
type List struct {
	lag time.Duration

	mu       sync.Mutex // protects versions
	versions []platform.VMSnapshot
}

// New returns a list that held the VMs all along.
func New(lag time.Duration, vms []platform.VM) *List {
	start := platform.VMSnapshot{AsOf: time.Now().Add(-lag), VMs: slices.Clone(vms)}
	return &List{lag: lag, versions: []platform.VMSnapshot{start}}
}

// SetState changes the state of a VM; an empty state removes it. It reports
// whether the VM was there.
func (l *List) SetState(id string, state platform.VMState) bool {
	return l.change(func(vms []platform.VM) ([]platform.VM, bool) {
		i := slices.IndexFunc(vms, func(vm platform.VM) bool { return vm.ID == id })
		if i < 0 {
			return vms, false
		}
		if state == "" {
			return slices.Delete(vms, i, i+1), true
		}
		vms[i].State = state
		return vms, true
	})
}

// Put adds a VM or replaces the one of the same id.
func (l *List) Put(vm platform.VM) {
	l.change(func(vms []platform.VM) ([]platform.VM, bool) {
		i := slices.IndexFunc(vms, func(other platform.VM) bool { return other.ID == vm.ID })
		if i < 0 {
			return append(vms, vm), true
		}
		vms[i] = vm
		return vms, true
	})
}

// Snapshot returns the list as of the lag before now.
func (l *List) Snapshot(now time.Time) platform.VMSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := now.Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].AsOf.After(asOf) {
		l.versions = l.versions[1:]
	}
	return platform.VMSnapshot{AsOf: asOf, VMs: l.versions[0].VMs}
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := l.Snapshot(time.Now())
	vms, err := json.Marshal(snapshot.VMs)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := `"` + strconv.FormatUint(xxhash.Sum64(vms), 36) + `"`
	w.Header()["Date"] = nil // keeps the library from adding it
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.Header().Set(platform.AsOfHeader, strconv.FormatInt(snapshot.AsOf.UnixMilli(), 10))
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the connection is gone, so nobody can be told.
	_ = json.NewEncoder(w).Encode(snapshot)
}

func (l *List) change(edit func([]platform.VM) ([]platform.VM, bool)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1]
	vms, changed := edit(slices.Clone(newest.VMs))
	if changed {
		l.versions = append(l.versions, platform.VMSnapshot{AsOf: time.Now(), VMs: vms})
	}
	return changed
}
