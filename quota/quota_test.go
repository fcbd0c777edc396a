package quota

import (
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
)

func TestAmounts(t *testing.T) {
	Convey("The amounts of all cells add up to the cap, but for rounding", t, func() {
		r := rand.New(rand.NewPCG(1, 1))
		for range 2000 {
			limit := fleet.Resources{MilliCPU: r.Int64N(1 << 40), MemoryMB: 1 + r.Int64N(100), Accelerators: 0}
			sum, cells := fleet.Resources{}, 1+r.IntN(12)
			for i := range cells {
				a := Amount(InitialShare(i, cells), limit)
				So(a.Accelerators, ShouldEqual, Unlimited)
				a.Accelerators = 0
				sum = sum.Add(a)
			}
			rounding := fleet.Resources{MilliCPU: limit.MilliCPU * int64(cells) / Whole, MemoryMB: limit.MemoryMB * int64(cells) / Whole}
			So(limit.MilliCPU == 0 || sum.Fits(limit.Add(rounding)), ShouldBeTrue)

			used := fleet.Resources{MilliCPU: r.Int64N(limit.MilliCPU + 1), MemoryMB: r.Int64N(limit.MemoryMB + 1)}
			share := ShareFor(used, limit)
			So(used.Fits(Amount(share, limit)), ShouldBeTrue)
			So(share <= 1 || !used.Fits(Amount(share-1, limit)), ShouldBeTrue)
		}
	})
	Convey("A cap that is a multiple of a task's size holds that many tasks, however they are spread", t, func() {
		limit := fleet.Resources{MilliCPU: 6000}
		for first := int64(0); first <= 6; first++ {
			sum := ShareFor(fleet.Resources{MilliCPU: first * 1000}, limit) + ShareFor(fleet.Resources{MilliCPU: (6 - first) * 1000}, limit)
			So(sum, ShouldBeLessThanOrEqualTo, Whole)
		}
	})
	Convey("A cap that falls makes all parts fall with it", t, func() {
		So(Amount(Whole/4, fleet.Resources{MilliCPU: 64000}).MilliCPU, ShouldEqual, 16000)
		So(Amount(Whole/4, fleet.Resources{MilliCPU: 2000}).MilliCPU, ShouldEqual, 500)
		So(ShareFor(fleet.Resources{MilliCPU: 1 << 62}, fleet.Resources{MilliCPU: 1}), ShouldEqual, int64(maxShareFor))
	})
}

func TestTransfers(t *testing.T) {
	idle := func(share int64) Cell { return Cell{Share: share, Reachable: true} }
	Convey("Demand in one cell gets what lies idle in the others", t, func() {
		cells := []Cell{{Share: Whole / 4, Demand: Demand{Used: Whole / 4, Next: Whole/4 + 1000, Need: Whole}, Reachable: true}, idle(Whole / 4), idle(Whole / 4), idle(Whole / 4)}
		for self := 1; self < 4; self++ {
			So(Transfers(self, cells)[0], ShouldEqual, Whole/4)
		}
		So(Transfers(0, cells), ShouldBeNil)
	})
	Convey("Small parts are gathered in one cell, and none is given away again", t, func() {
		wanting := Demand{Next: Whole * 3 / 4, Need: Whole * 2}
		cells := []Cell{{InitialShare(0, 3), wanting, true}, {InitialShare(1, 3), wanting, true}, {InitialShare(2, 3), wanting, true}}
		So(Transfers(0, cells), ShouldBeNil)
		for _, giver := range []int{1, 2} {
			out := Transfers(giver, cells)
			So(out, ShouldNotBeNil)
			cells[giver].Share -= out[0]
			cells[0].Share += out[0]
		}
		So(cells[0].Share, ShouldBeGreaterThanOrEqualTo, Whole*3/4)
		for self := range cells {
			So(Transfers(self, cells), ShouldBeNil)
		}
		Convey("and go on to the next cell once its task has ended", func() {
			cells[0].Demand = Demand{}
			out := Transfers(0, cells)
			So(cells[1].Share+out[1], ShouldBeGreaterThanOrEqualTo, Whole*3/4)
		})
	})
	Convey("What a tenant at its cap frees goes to the cell in which nothing of it runs", t, func() {
		const task = Whole / 16
		cells := []Cell{
			{Share: Whole, Demand: Demand{Used: Whole - task, Next: Whole, Need: 4 * Whole}, Reachable: true},
			{Demand: Demand{Next: task, Need: task}, Reachable: true},
		}
		So(Transfers(0, cells), ShouldResemble, []int64{0, task})
	})
	Convey("All of the cap can be gathered for a task that is larger, also from small parts", t, func() {
		cells := []Cell{idle(100), {Share: Whole - 3100, Demand: Demand{Next: Whole, Need: Whole}, Reachable: true}, idle(3000)}
		for _, giver := range []int{2, 0} {
			out := Transfers(giver, cells)
			So(out, ShouldNotBeNil)
			cells[giver].Share -= out[1]
			cells[1].Share += out[1]
		}
		So(cells[1].Share, ShouldEqual, Whole)
	})
	Convey("A cell that runs more than its share gives nothing, and one that can't be reached gets nothing", t, func() {
		wanting := Demand{Next: 100, Need: 100}
		So(Transfers(0, []Cell{{Share: 10, Demand: Demand{Used: 50, Next: 50, Need: 50}, Reachable: true}, {Demand: wanting, Reachable: true}}), ShouldBeNil)
		So(Transfers(0, []Cell{{Share: 500, Reachable: true}, {Demand: wanting}}), ShouldBeNil)
	})
}

// model plays owners that read each other's records late, lose appends that are not answered, and are
// replaced, for one tenant with tasks of one size.
type model struct {
	r       *rand.Rand
	log     []Given // what was stored, in order; giver by index in by
	by      []int
	owners  []*modelOwner
	cut     []bool // cells whose owner reaches no store
	waiting []int
	running []int
	task    int64
	starts  int
}

type modelOwner struct {
	read    int // records of the log
	given   []Given
	pending *Given
}

func (m *model) newOwner() *modelOwner {
	o := &modelOwner{given: make([]Given, len(m.waiting))}
	m.catchUp(o, len(m.log))
	return o
}

func (m *model) catchUp(o *modelOwner, to int) {
	for ; o.read < to; o.read++ {
		giver := m.by[o.read]
		o.given[giver] = o.given[giver].Merge(m.log[o.read])
	}
}

func (m *model) share(cell int) int64 { return Shares("t", m.owners[cell].given)[cell] }

// step lets each owner store, read, start and end tasks, and give; with faults, not all of it.
func (m *model) step(faults bool) {
	for cell, o := range m.owners {
		if faults && m.r.IntN(40) == 0 {
			m.cut[cell] = !m.cut[cell]
		}
		m.cut[cell] = m.cut[cell] && faults
		if faults && m.r.IntN(60) == 0 { // what is pending is stored before the new term or never
			if m.r.IntN(2) == 0 {
				m.store(cell)
			}
			m.owners[cell], m.cut[cell] = m.newOwner(), false
			continue
		}
		if m.cut[cell] {
			continue
		}
		m.store(cell)
		to := len(m.log)
		if faults {
			to = o.read + m.r.IntN(to-o.read+1)
		}
		m.catchUp(o, to)
		for m.running[cell] > 0 && m.r.IntN(8) == 0 {
			m.running[cell]--
		}
		for m.waiting[cell] > 0 && int64(m.running[cell]+1)*m.task <= m.share(cell) {
			m.waiting[cell]--
			m.running[cell]++
			m.starts++
		}
		m.give(cell)
	}
}

func (m *model) store(cell int) {
	if o := m.owners[cell]; o.pending != nil {
		m.log, m.by, o.pending = append(m.log, *o.pending), append(m.by, cell), nil
	}
}

func (m *model) give(cell int) {
	o := m.owners[cell]
	if o.pending != nil {
		return
	}
	cells := make([]Cell, len(m.owners))
	for i, share := range Shares("t", o.given) {
		used := int64(m.running[i]) * m.task
		d := Demand{Used: used, Next: used, Need: used}
		if m.waiting[i] > 0 && used+m.task > m.share(i) {
			d.Next, d.Need = used+m.task, used+int64(m.waiting[i])*m.task
		}
		cells[i] = Cell{Share: share, Demand: d, Reachable: i == cell || !m.cut[i]}
	}
	for to, parts := range Transfers(cell, cells) {
		if parts > 0 {
			next := o.given[cell].Add("t", to, parts)
			o.given[cell], o.pending = next, &next
		}
	}
}

func TestOwnersThatFail(t *testing.T) {
	Convey("Whatever owners lose, read late or do after a takeover, shares in use never exceed the whole, and all work starts in the end", t, func() {
		for seed := range uint64(100) {
			r := rand.New(rand.NewPCG(seed, 7))
			n := 2 + r.IntN(6)
			m := &model{r: r, waiting: make([]int, n), running: make([]int, n), cut: make([]bool, n), task: 1 + r.Int64N(Whole/int64(1+r.IntN(40)))}
			for range n {
				m.owners = append(m.owners, m.newOwner())
			}
			check := func() {
				shares, used := int64(0), int64(0)
				for cell := range m.owners {
					shares += m.share(cell)
					used += int64(m.running[cell]) * m.task
				}
				if shares > Whole || used > Whole {
					t.Fatalf("seed %d: shares %d, used %d of %d", seed, shares, used, Whole)
				}
			}
			for range 400 {
				if r.IntN(10) == 0 {
					m.waiting[r.IntN(n)] += r.IntN(20)
				}
				m.step(true)
				check()
			}
			for i := 0; slices.Max(m.waiting) > 0; i++ {
				if i > 60000 {
					t.Fatalf("seed %d: %v wait, %v run, shares %v", seed, m.waiting, m.running, Shares("t", m.newOwner().given))
				}
				m.step(false)
				check()
			}
		}
	})
	Convey("Work that appears in one cell while most of the cap lies idle starts within a few exchanges", t, func() {
		for seed := range uint64(300) {
			r := rand.New(rand.NewPCG(seed, 8))
			n := 2 + r.IntN(6)
			m := &model{r: r, waiting: make([]int, n), running: make([]int, n), cut: make([]bool, n), task: 1 + r.Int64N(Whole/2)}
			for range n {
				m.owners = append(m.owners, m.newOwner())
			}
			m.waiting[r.IntN(n)] = 1
			for range 4 {
				m.step(false)
			}
			if m.starts != 1 {
				t.Fatalf("seed %d: a task of %d waits in %v, shares %v", seed, m.task, m.waiting, Shares("t", m.newOwner().given))
			}
		}
	})
}

// Parts that are small beside the whole were given by nobody: each of two cells left them to the other one.
func TestSmallPartsAreGiven(t *testing.T) {
	Convey("Of two cells with parts to spare, one gives a small part that a third one lacks", t, func() {
		cells := []Cell{
			{Share: Whole/2 - 84, Demand: Demand{Used: Whole/2 - 1584, Next: Whole/2 - 1584, Need: Whole/2 - 1584}, Reachable: true},
			{Share: Whole/2 - 83, Demand: Demand{Used: Whole/2 - 1583, Next: Whole/2 - 1583, Need: Whole/2 - 1583}, Reachable: true},
			{Share: 167, Demand: Demand{Used: 0, Next: 334, Need: 334}, Reachable: true},
		}
		given := int64(0)
		for i := range 2 {
			if parts := Transfers(i, cells); parts != nil {
				given += parts[2]
			}
		}
		So(given, ShouldBeGreaterThanOrEqualTo, 167)
	})
}
