package quota

import (
	"cmp"
	"slices"
)

// Demand is what a cell needs of a tenant's cap, in parts of Whole.
type Demand struct {
	_    struct{} `cbor:",toarray"`
	Used int64    // by runs, and by long-running tasks that are to start again
	Next int64    // the share with which the cell could start one more task, or a whole gang; Used if none is refused for the cap
	Need int64    // the share with which the cell could start all tasks that are refused for the cap alone
}

// IsPossible reports whether an owner may have published d.
func (d Demand) IsPossible() bool {
	return d.Used >= 0 && d.Used <= d.Next && d.Next <= d.Need && d.Need <= 4*maxShareFor // with what an owner adds
}

// wants reports whether tasks wait for the tenant's cap.
func (d Demand) wants() bool { return d.Need > d.Used }

// Cell is what is known of a tenant in one cell.
type Cell struct {
	Share     int64
	Demand    Demand
	Reachable bool // its owner has published something lately
}

// Transfers returns the parts of a tenant's cap that a cell should give to each of the others.
//
// It answers demand that appears in one cell while the cap lies idle in others, a cap so small that its parts
// are useless until they lie together, and a tenant at its cap whose work in one cell would
// refill what ends there and keep that in another waiting.
//
// All owners compute the same from the same records. What is missing comes from the cells that can
// spare the most. Half of what no cell needs goes along, from all cells in proportion: more work is likely to
// follow where some has come, and it doesn't wait for one giver. Where records are behind, a cell
// gets too much for a while, from parts that nobody needs.
func Transfers(self int, cells []Cell) []int64 {
	if cells[self].Share <= cells[self].Demand.Used {
		return nil
	}
	target, unneeded := allocate(cells)
	spare, short := make([]int64, len(cells)), make([]int64, len(cells))
	var givers []int
	all, missing, receivers := int64(0), int64(0), int64(0)
	for i, c := range cells {
		switch {
		case !c.Reachable:
		case i != self && c.gains(target[i]):
			short[i] = target[i] - c.Share
			missing += short[i]
			receivers++
		case c.Share > target[i]:
			spare[i] = c.Share - target[i]
			givers = append(givers, i)
			all += spare[i]
		}
	}
	if spare[self] == 0 || receivers == 0 {
		return nil
	}
	slices.SortStableFunc(givers, func(x, y int) int { return cmp.Compare(spare[y], spare[x]) })
	extra := unneeded / 2 / receivers
	out := make([]int64, len(cells))
	own := spare[self]
	left := own
	for i, n := range short {
		if n == 0 {
			continue
		}
		part := ownPart(self, n, givers, spare) // the parts of all givers cover what is missing
		out[i] = min(left, max(part, int64(float64(n+extra)*float64(own)/float64(all))))
		if out[i] < minPart && part == 0 {
			out[i] = 0
		}
		left -= out[i]
	}
	return out
}

// minPart is the least part that is worth a record, while others can give what is missing.
const minPart = Whole >> 13

// ownPart returns which part of n comes from one of the givers, of which each gives what it can spare
// before the next one does. It counts n as taken from spare.
func ownPart(self int, n int64, givers []int, spare []int64) int64 {
	for _, i := range givers {
		part := min(n, spare[i])
		spare[i] -= part
		if i == self {
			return part
		}
		n -= part
	}
	return 0
}

// gains reports whether a cell could start more tasks with a share than with its present one.
// Other transfers would move parts to and fro without use.
func (c Cell) gains(share int64) bool {
	unit := c.Demand.Next - c.Demand.Used
	if unit <= 0 || share <= c.Share {
		return false
	}
	return (share-c.Demand.Used)/unit > max(0, c.Share-c.Demand.Used)/unit
}

// allocate divides the shares of all cells: what each uses, then one task for each that wants to start
// some, then the rest in equal parts up to the needs. A cell that can't be reached keeps its share. It also
// returns what is left.
func allocate(cells []Cell) (out []int64, left int64) {
	out = make([]int64, len(cells))
	var wanting []int
	for i, c := range cells {
		left += c.Share
		out[i] = c.Demand.Used
		if !c.Reachable {
			out[i] = c.Share
		} else if c.Demand.wants() {
			wanting = append(wanting, i)
		}
		left -= out[i]
	}
	// Cells without any run go first, then those that have the room already, so that it isn't moved.
	slices.SortStableFunc(wanting, func(x, y int) int {
		return cmp.Or(compareBool(cells[x].Demand.Used > 0, cells[y].Demand.Used > 0), compareBool(cells[x].Share < cells[x].Demand.Next, cells[y].Share < cells[y].Demand.Next))
	})
	wanting = slices.DeleteFunc(wanting, func(i int) bool {
		unit := cells[i].Demand.Next - cells[i].Demand.Used
		if unit > left {
			return true
		}
		out[i] += unit
		left -= unit
		return false
	})
	slices.SortStableFunc(wanting, func(x, y int) int {
		return cmp.Compare(cells[x].Demand.Need-out[x], cells[y].Demand.Need-out[y])
	})
	for n, i := range wanting {
		part := min(cells[i].Demand.Need-out[i], left/int64(len(wanting)-n))
		out[i] += part
		left -= part
	}
	return out, max(0, left)
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}
