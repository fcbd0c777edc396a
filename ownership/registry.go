package ownership

import (
	"sync"

	"github.com/peridotlock/peridotlock/fleet"
)

// Registry holds the owners of one kind of unit that a process runs, by the
// path of the unit. It may be used by several goroutines.
type Registry[T any] struct {
	mu     sync.RWMutex // protects owners
	owners map[fleet.Path]*T
}

// NewRegistry returns an empty registry.
func NewRegistry[T any]() *Registry[T] { return &Registry[T]{owners: make(map[fleet.Path]*T)} }

// Put makes o the owner of the unit at path.
func (r *Registry[T]) Put(path fleet.Path, o *T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners[path] = o
}

// Drop removes o, unless another owner took its place.
func (r *Registry[T]) Drop(path fleet.Path, o *T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owners[path] == o {
		delete(r.owners, path)
	}
}

// Get returns the owner of the unit at path, or nil.
func (r *Registry[T]) Get(path fleet.Path) *T {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.owners[path]
}
