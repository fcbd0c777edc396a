package queue

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
)

const (
	keptJobs = 2000           // ended jobs that are kept
	keptTime = 24 * time.Hour // after the end of a job
)

// Task is the recorded state of one task.
type Task struct {
	State      job.State       `cbor:"1,keyasint"`
	Attempt    int             `cbor:"2,keyasint"` // newest, 0 before the first
	VM         string          `cbor:"3,keyasint,omitempty"`
	Rack       fleet.Path      `cbor:"4,keyasint,omitempty"`
	RackTerm   platform.Offset `cbor:"5,keyasint,omitempty"`
	Checkpoint string          `cbor:"6,keyasint,omitempty"`
	Evictions  int             `cbor:"7,keyasint,omitempty"`
	Failures   int             `cbor:"8,keyasint,omitempty"`
	Faults     int             `cbor:"13,keyasint,omitempty"` // failures that were blamed on the worker
	FailedOn   []string        `cbor:"9,keyasint,omitempty"`
	Reason     string          `cbor:"10,keyasint,omitempty"`
	Cancelling bool            `cbor:"11,keyasint,omitempty"`
	Changed    int64           `cbor:"12,keyasint"` // platform's clock, Unix milliseconds
}

// IsActive reports whether an attempt of the task may run.
func (t *Task) IsActive() bool { return t.State == job.Placed || t.State == job.Running }

// IsWaiting reports whether the task may be placed.
func (t *Task) IsWaiting() bool { return t.State == job.Pending || t.State == job.Evicted }

// Job is the recorded state of one job.
type Job struct {
	Number    uint64   `cbor:"1,keyasint"`
	Spec      job.Spec `cbor:"2,keyasint"`
	Submitted int64    `cbor:"3,keyasint"` // platform's clock, Unix milliseconds
	Ended     int64    `cbor:"4,keyasint"` // the same; 0 while open
	Tasks     []Task   `cbor:"5,keyasint"`
	FailedOn  []string `cbor:"6,keyasint,omitempty"` // VMs on which a task failed
	Successes int      `cbor:"7,keyasint,omitempty"`
	open      int      // tasks that are not final
}

// HasFailed reports whether tasks of the job failed and none succeeded.
func (j *Job) HasFailed() bool { return len(j.FailedOn) > 0 && j.Successes == 0 }

// Machine interprets the stream of one team's queue. It implements
// stream.Machine.
type Machine struct {
	team  fleet.Path
	term  platform.Offset
	next  uint64
	jobs  map[uint64]*Job
	keys  map[string]uint64 // idempotency key to job
	ended []uint64          // in the order of their ends
	open  map[uint64]*Job
}

// NewMachine returns the empty state of the team's queue.
func NewMachine(team fleet.Path) *Machine {
	m := &Machine{team: team}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.term = -1
	m.next = 1
	m.jobs = make(map[uint64]*Job)
	m.keys = make(map[string]uint64)
	m.open = make(map[uint64]*Job)
	m.ended = nil
}

// Team returns the path of the team.
func (m *Machine) Team() fleet.Path { return m.team }

// Term returns the newest term, -1 before the first.
func (m *Machine) Term() platform.Offset { return m.term }

// Job returns the job with the number, or nil. The caller must not change it.
func (m *Machine) Job(number uint64) *Job { return m.jobs[number] }

// Task returns the task, or nil. The caller must not change it.
func (m *Machine) Task(ref TaskRef) *Task {
	j := m.jobs[ref.Job]
	if j == nil || ref.Index < 0 || ref.Index >= len(j.Tasks) {
		return nil
	}
	return &j.Tasks[ref.Index]
}

// ByKey returns the job with the idempotency key, or nil.
func (m *Machine) ByKey(key string) *Job { return m.jobs[m.keys[key]] }

// Waiting returns the count of tasks that may be placed.
func (m *Machine) Waiting() int {
	n := 0
	for _, j := range m.open {
		for i := range j.Tasks {
			if j.Tasks[i].IsWaiting() {
				n++
			}
		}
	}
	return n
}

// Open returns the jobs that have not ended, oldest first.
func (m *Machine) Open() []*Job {
	return slices.SortedFunc(maps.Values(m.open), byNumber)
}

// Jobs returns all jobs that are kept, oldest first.
func (m *Machine) Jobs() []*Job {
	return slices.SortedFunc(maps.Values(m.jobs), byNumber)
}

func byNumber(a, b *Job) int { return cmp.Compare(a.Number, b.Number) }

// snapshot is the encoded state.
type snapshot struct {
	Term  platform.Offset `cbor:"1,keyasint"`
	Next  uint64          `cbor:"2,keyasint"`
	Jobs  []*Job          `cbor:"3,keyasint"`
	Ended []uint64        `cbor:"4,keyasint"`
}

// Snapshot implements stream.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	return cbor.Marshal(snapshot{Term: m.term, Next: m.next, Jobs: m.Jobs(), Ended: m.ended})
}

// Restore implements stream.Machine.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return err
	}
	m.reset()
	m.term, m.next, m.ended = s.Term, s.Next, s.Ended
	for _, j := range s.Jobs {
		m.add(j)
	}
	return nil
}

// add indexes a job.
func (m *Machine) add(j *Job) {
	m.jobs[j.Number] = j
	if j.Spec.IdempotencyKey != "" {
		m.keys[j.Spec.IdempotencyKey] = j.Number
	}
	j.open = 0
	for i := range j.Tasks {
		if !j.Tasks[i].State.IsFinal() {
			j.open++
		}
	}
	if j.open > 0 {
		m.open[j.Number] = j
	}
}
