// Package quota divides the caps of tenants among cells. Each cell's owner starts tasks of a tenant up
// to its cell's share of the cap, without asking anyone, and the shares of all cells never add up to
// more than the cap.
//
// All cells start with equal shares. The owner of a cell gives parts of its share away by raising
// counters that are stored under its term; the receiver counts what it has read of them. A transfer that is
// late or lost makes the sum of the shares lower, never higher, so nothing expires and no clock is
// compared.
//
// Decisions are pure functions of what owners publish, so they need no coordination.
package quota

import (
	"maps"
	"math"
	"math/bits"

	"github.com/peridotlock/peridotlock/fleet"
)

// Whole is the share of a cell that has all of a tenant's cap.
const Whole = 1 << 24

// Unlimited is the amount of a resource that a cap does not limit.
const Unlimited = math.MaxInt64 / 4

// maxGiven bounds a counter of a record; sums of counters don't overflow.
const maxGiven = 1 << 54

// InitialShare returns the share of a cell before any transfer. Those of all cells add up to Whole.
func InitialShare(cell, cells int) int64 {
	if cells <= 1 {
		return Whole
	}
	share := int64(Whole / cells)
	if cell < Whole%cells {
		share++
	}
	return share
}

// Given is what one cell has given to others of its shares: a sum that only grows, by tenant and
// receiving cell.
type Given map[string]map[int]int64

// IsPossible reports whether the owner of a cell may have stored g.
func (g Given) IsPossible(giver, maxCells int) bool {
	for _, to := range g {
		for cell, sum := range to {
			if cell < 0 || cell >= maxCells || cell == giver || sum < 0 || sum > maxGiven {
				return false
			}
		}
	}
	return true
}

// Add returns a copy of g with one more transfer.
func (g Given) Add(tenant string, to int, parts int64) Given {
	out := maps.Clone(g)
	if out == nil {
		out = Given{}
	}
	out[tenant] = maps.Clone(g[tenant])
	if out[tenant] == nil {
		out[tenant] = map[int]int64{}
	}
	out[tenant][to] += parts
	return out
}

// Merge returns the larger counter of g and o for each tenant and cell: counters never fall, so a lower
// one is out of date.
func (g Given) Merge(o Given) Given {
	out := maps.Clone(g)
	if out == nil {
		out = Given{}
	}
	for tenant, to := range o {
		merged := maps.Clone(out[tenant])
		if merged == nil {
			merged = map[int]int64{}
		}
		for cell, sum := range to {
			merged[cell] = max(merged[cell], sum)
		}
		out[tenant] = merged
	}
	return out
}

// Equal reports whether g and o state the same transfers.
func (g Given) Equal(o Given) bool {
	return maps.EqualFunc(g, o, func(a, b map[int]int64) bool { return maps.Equal(a, b) })
}

// sum returns what was given of a tenant's cap to all cells.
func (g Given) sum(tenant string) int64 {
	sum := int64(0)
	for _, parts := range g[tenant] {
		sum += parts
	}
	return sum
}

// Shares returns the share of each cell in a tenant's cap, by what each of them has given. Elements of
// given may be nil.
func Shares(tenant string, given []Given) []int64 {
	out := make([]int64, len(given))
	for cell := range out {
		out[cell] = InitialShare(cell, len(given))
	}
	for giver, g := range given {
		for to, parts := range g[tenant] {
			if to < len(out) {
				out[to] += parts
			}
		}
		out[giver] -= g.sum(tenant)
	}
	for cell := range out {
		// A giver's record may be read before that of the cell which it had its parts from.
		out[cell] = min(max(out[cell], 0), Whole)
	}
	return out
}

// Amount returns the part of a cap that belongs to a share, as if it were larger by one: shares that are
// rounded would not hold a cap that is a multiple of a task's size. The amounts of n cells exceed the
// cap by at most n/Whole of it, and not at all by whole units if that is less than one.
func Amount(share int64, limit fleet.Resources) fleet.Resources {
	if share > 0 {
		share = min(share+1, Whole)
	}
	of := func(limit int64) int64 {
		if limit <= 0 {
			return Unlimited
		}
		return limit/Whole*share + limit%Whole*share/Whole
	}
	return fleet.Resources{MilliCPU: of(limit.MilliCPU), MemoryMB: of(limit.MemoryMB), Accelerators: of(limit.Accelerators)}
}

// ShareFor returns the least share whose Amount holds used, up to maxShareFor.
func ShareFor(used, limit fleet.Resources) int64 {
	of := func(used, limit int64) int64 {
		if limit <= 0 || used <= 0 {
			return 0
		}
		hi, lo := bits.Mul64(uint64(used), Whole)
		if hi >= uint64(limit) {
			return maxShareFor
		}
		share, rest := bits.Div64(hi, lo, uint64(limit))
		if rest > 0 {
			share++
		}
		return max(1, min(maxShareFor, int64(share)-1)) // see Amount
	}
	return max(of(used.MilliCPU, limit.MilliCPU), of(used.MemoryMB, limit.MemoryMB), of(used.Accelerators, limit.Accelerators))
}

// maxShareFor bounds what a tenant may need: a cap may have fallen far below what runs.
const maxShareFor = 1 << 40

// IsLimited reports whether a cap limits any resource.
func IsLimited(limit fleet.Resources) bool {
	return limit.MilliCPU > 0 || limit.MemoryMB > 0 || limit.Accelerators > 0
}
