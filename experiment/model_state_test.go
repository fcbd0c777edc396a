package experiment

import (
	"fmt"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/settings"
)

const (
	modelTeam   = fleet.Path("t")
	modelWindow = 900 * time.Millisecond // expiry of a start after its decision
	modelTick   = 2 * time.Second
)

var modelStart = time.Unix(1_000_000, 0)

// size bounds one search.
type size struct {
	racks                 int // worker i is in rack i modulo racks
	workers, tasks, ticks int
	attempts              int  // of each task
	most                  int  // states; a search that finds more has grown unnoticed
	noDelays              bool // faults are cuts and freezes only
	faults                int  // delays, lost replies, cuts and freezes in all
	queueTakeover         bool
	rackTakeover          bool
	takeOut               bool
}

// message is on its way; it may arrive at any later time or never.
type message struct {
	name   string
	body   any // tells messages of one name apart
	arrive func(m *model)
}

// placing is one placement of a queue owner between its steps.
type placing struct {
	step string // "", "reserved", "appended"
	task queue.TaskRef
	rack int
	rec  queue.Record
	held bool // over a tick
}

type queueOwner struct {
	term platform.Offset
	at   placing
}

// start is on its way from a rack owner to a worker.
type start struct {
	vm      string
	request platform.StartRequest
}

type rackOwner struct {
	state  *rack.State
	lost   time.Time // when a newer claim won; zero for not
	frozen bool
	slept  bool // over a tick
	held   bool // its start, over a tick
	starts []start
	cut    string // worker that it does not reach
}

// model is one state of the search.
type model struct {
	bound    size
	now      time.Time
	machine  *queue.Machine
	queues   []queueOwner
	racks    []rackOwner
	workers  []*Worker
	net      []message
	outAt    time.Time
	told     bool // rack owners know of the take-out
	faults   int
	accepted map[platform.AttemptRef]int
	fault    string
}

func newModel(b size) *model {
	m := &model{
		bound: b, now: modelStart, machine: queue.NewMachine(modelTeam),
		queues: []queueOwner{{term: 1}}, accepted: make(map[platform.AttemptRef]int),
	}
	world := &World{Truth: func(string) Truth { return Truth{RunTime: time.Hour} }}
	for i := range b.workers {
		vm := platform.VM{
			ID: fmt.Sprintf("w%d", i), Kind: platform.KindWorker, State: platform.VMLive, Rack: rackPath(i % b.racks),
			FailureDomain: fleet.Path(fmt.Sprintf("d%d", i)), Size: fleet.Resources{MilliCPU: 1000, MemoryMB: 1000},
		}
		w := NewWorker(vm, world, m.now)
		w.trusting = true
		m.workers = append(m.workers, w)
	}
	m.write(1, queue.Record{Kind: queue.Opened})
	m.write(1, queue.Record{Kind: queue.Submitted, Spec: &job.Spec{
		Team: modelTeam, Kind: "k", Class: fleet.Batch, Count: b.tasks, Size: fleet.Resources{MilliCPU: 600, MemoryMB: 600},
	}})
	for i := range b.racks {
		m.addRack(rackPath(i), "")
	}
	return m
}

func rackPath(i int) fleet.Path { return fleet.Path(fmt.Sprintf("r%d", i)) }

// addRack adds a new owner of the rack at path that does not reach worker cut.
func (m *model) addRack(path fleet.Path, cut string) {
	for i := range m.racks {
		if m.racks[i].state.Path() == path {
			m.racks[i].lost = m.now
		}
	}
	s := rack.New(path, platform.Offset(len(m.racks)+1), m.now, interference.None{})
	var vms []platform.VM
	for _, w := range m.workers {
		vms = append(vms, w.VM)
	}
	s.SetVMs(vms)
	m.racks = append(m.racks, rackOwner{state: s, cut: cut})
	m.round(len(m.racks) - 1)
}

func (m *model) write(term platform.Offset, records ...queue.Record) {
	data, err := queue.Batch{Term: term, Records: records}.Encode()
	if err != nil {
		panic(err)
	}
	m.machine.Apply(platform.Record{Time: m.now, Data: data})
}

// conditions returns what rack owner r believes: until the take-out has arrived,
// it holds the settings from before with their age.
func (m *model) conditions(r int) rack.Conditions {
	policy := settings.DefaultPolicy()
	policy.Tasks.Lease = 2 * time.Second
	policy.Tasks.OutageAllowance = time.Second
	policy.Tasks.ViewAge = time.Second
	c := rack.Conditions{View: &settings.View{
		Domains:  []settings.FailureDomain{{Path: "d0", Out: m.told}},
		Policies: map[fleet.Path]settings.Policy{"": policy},
	}}
	if !m.told && !m.outAt.IsZero() {
		c.ViewAge = m.now.Sub(m.outAt)
	}
	if lost := m.racks[r].lost; !lost.IsZero() {
		c.ClaimAge = m.now.Sub(lost)
	}
	return c
}

// check holds the workers' ledgers against the invariants.
func (m *model) check() string {
	running := make(map[string]int)
	for _, w := range m.workers {
		w.Advance(m.now)
		if !w.Declared().Fits(w.VM.Size) {
			return "overcommitted " + w.VM.ID
		}
		for _, ref := range w.Running() {
			running[ref.Task]++
			if running[ref.Task] > 1 {
				return "two running attempts of " + ref.Task
			}
		}
	}
	return m.fault
}
