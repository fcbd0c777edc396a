package worker

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// Interference is by how much a neighbour at its full share slows a victim.
type Interference struct {
	Victim    string  `yaml:"victim"`
	Neighbour string  `yaml:"neighbour"`
	Slowdown  float64 `yaml:"slowdown"` // 1 or more
}

// Kind is how the tasks of one kind differ from what their jobs declare.
type Kind struct {
	Name          string  `yaml:"name"`
	RunTimeFactor float64 `yaml:"run-time-factor"` // true run time over declared
	UsageFactor   float64 `yaml:"usage-factor"`    // true usage over declared
}

// Pace is what decides how fast tasks go.
type Pace struct {
	Interference []Interference
	Kinds        []Kind
}

// Advance moves the worker's clock to now: tasks progress, finish or lapse.
func (m *Machine) Advance(now time.Duration) {
	for m.now < now {
		step := m.nextEvent(now)
		m.progress(step - m.now)
		m.now = step
		m.endDue()
	}
}

// nextEvent returns the time of the next finish or lapse, at most now.
func (m *Machine) nextEvent(now time.Duration) time.Duration {
	next := now
	for _, a := range m.running() {
		next = min(next, max(a.until, m.now+1), m.finish(a))
	}
	return next
}

// finish returns when a would finish if nothing changed.
func (m *Machine) finish(a *attempt) time.Duration {
	if a.runTime == endless {
		return endless
	}
	left := (1 - a.status.Progress) * float64(a.runTime) * m.slowdown(a)
	return m.now + max(1, time.Duration(math.Ceil(left)))
}

func (m *Machine) progress(d time.Duration) {
	running := m.running()
	gain := make([]float64, len(running))
	for i, a := range running {
		gain[i] = float64(d) / (float64(a.runTime) * m.slowdown(a))
	}
	for i, a := range running {
		if a.runTime != endless {
			a.status.Progress += gain[i]
		}
	}
}

// endDue ends what is over. A lease that runs out goes before a finish at the
// same time.
func (m *Machine) endDue() {
	const done = 1 - 1e-9
	for _, a := range m.running() {
		switch {
		case a.until <= m.now:
			m.end(a, platform.AttemptLapsed, m.now)
		case a.status.Progress >= done:
			a.status.Progress = 1
			m.end(a, platform.AttemptFinished, m.now)
		}
	}
}

// slowdown returns the ratio of the run time of a to that when alone and not
// throttled.
func (m *Machine) slowdown(a *attempt) float64 {
	return m.interference(a) / a.share
}

// interference returns the ratio of the run time of a beside its neighbours to
// that when alone.
func (m *Machine) interference(a *attempt) float64 {
	out := 1.0
	for _, other := range m.running() {
		if other != a {
			out += (m.pace.pair(a.status.Kind, other.status.Kind) - 1) * other.share
		}
	}
	return out
}

func (m *Machine) runTime(r platform.StartRequest) time.Duration {
	if r.RunTime == 0 {
		return endless
	}
	factor := m.factor * m.pace.kind(r.Kind).RunTimeFactor
	return max(1, time.Duration(float64(r.RunTime)*factor))
}

// usage measures each running attempt.
func (m *Machine) usage() []platform.Usage {
	var out []platform.Usage
	for _, a := range m.running() {
		factor := m.pace.kind(a.status.Kind).UsageFactor * a.share
		out = append(out, platform.Usage{
			Task:     a.status.Task,
			Attempt:  a.status.Token.Attempt,
			Used:     scale(a.status.Size, factor),
			Slowdown: m.interference(a),
		})
	}
	return out
}

func scale(r fleet.Resources, factor float64) fleet.Resources {
	return fleet.Resources{
		MilliCPU:     int64(float64(r.MilliCPU) * factor),
		MemoryMB:     int64(float64(r.MemoryMB) * factor),
		Accelerators: r.Accelerators,
	}
}

func (p Pace) pair(victim, neighbour string) float64 {
	for _, i := range p.Interference {
		if i.Victim == victim && i.Neighbour == neighbour {
			return max(1, i.Slowdown)
		}
	}
	return 1
}

func (p Pace) kind(name string) Kind {
	out := Kind{Name: name}
	for _, k := range p.Kinds {
		if k.Name == name {
			out = k
		}
	}
	if out.RunTimeFactor <= 0 {
		out.RunTimeFactor = 1
	}
	if out.UsageFactor <= 0 {
		out.UsageFactor = 1
	}
	return out
}

// checkpointOf returns a form such as "job-1/0@2:0.25": task, attempt, progress.
func checkpointOf(s platform.AttemptStatus) string {
	progress := strconv.FormatFloat(s.Progress, 'g', -1, 64)
	return s.Task + "@" + strconv.Itoa(s.Token.Attempt) + ":" + progress
}

func progressOf(checkpoint string) float64 {
	_, number, _ := strings.Cut(checkpoint[strings.LastIndexByte(checkpoint, '@')+1:], ":")
	progress, err := strconv.ParseFloat(number, 64)
	if err != nil || progress < 0 || progress > 1 {
		return 0
	}
	return progress
}
