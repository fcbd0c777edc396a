package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// priorSuspicion is the suspicion of a task under which no executor has crashed.
	priorSuspicion = 0.002
	// maxSuspicion leaves room for evidence against it.
	maxSuspicion = 0.9999
	// crashAgeDeviation and crashAgeRelativeDeviation, a fraction of the age, are the mean
	// deviations of the age at which a task crashes its next executor from that before. The
	// first covers the time until a crash is noticed.
	crashAgeDeviation         = 50 * time.Millisecond
	crashAgeRelativeDeviation = 0.2
)

// giveUpSuspicion is the suspicion above which a task is given up, by the number of
// executors that have crashed under it. The more there are, the less doubt is worth another
// one. The platform allows no third start after three crashes.
var giveUpSuspicion = []float64{2: 0.99, 3: 0.99, 4: 0.98, 5: 0.05}

// crashTimes is the distribution of the time from the start of a task that crashes its
// executor to the crash, as noticed here: a mixture of exponential distributions.
var crashTimes = []crashTime{
	{share: 0.6, mean: 100 * time.Millisecond},
	{share: 0.3, mean: 500 * time.Millisecond},
	{share: 0.1, mean: 10 * time.Second},
}

// crashTime is one part of the distribution.
type crashTime struct {
	share float64 // of all tasks that crash executors
	mean  time.Duration
}

// density returns the probability density at an age, per second, weighted by the share.
func (ct crashTime) density(age time.Duration) float64 {
	return ct.survival(age) / ct.mean.Seconds()
}

// survival returns the probability of a crash after an age, weighted by the share.
func (ct crashTime) survival(age time.Duration) float64 {
	return ct.share * math.Exp(-age.Seconds()/ct.mean.Seconds())
}

// crashHistory is what is known of a task's part in crashes since it was last cleared.
type crashHistory struct {
	crashes   int           // executors that crashed under it
	suspicion float64       // that it crashes executors; 0 stands for priorSuspicion
	age       time.Duration // of its run at the newest crash
}

func (h crashHistory) isSuspect() bool { return h.suspicion >= suspectSuspicion || h.isRepeated() }

// isRepeated reports whether several executors have crashed under a suspect.
func (h crashHistory) isRepeated() bool {
	return h.crashes > 1 && h.suspicion >= repeatedSuspicion
}

func (h crashHistory) isGivenUp() bool {
	i := min(h.crashes, len(giveUpSuspicion)-1)
	return giveUpSuspicion[i] > 0 && h.suspicion > giveUpSuspicion[i]
}

func (h crashHistory) probability() float64 {
	return min(max(priorSuspicion, h.suspicion), maxSuspicion)
}

// density returns the density of a crash by the task at an age of its run, per second. One
// that has crashed an executor is likely to do so again at about the same age.
func (h crashHistory) density(age time.Duration) float64 {
	sum := 0.0
	for _, ct := range crashTimes {
		sum += ct.density(age)
	}
	if h.crashes == 0 {
		return sum
	}
	spread := h.spread().Seconds()
	return sum/2 + math.Exp(-(age-h.age).Abs().Seconds()/spread)/(2*spread)/2
}

// survival returns the probability of a crash by the task after an age.
func (h crashHistory) survival(age time.Duration) float64 {
	sum := 0.0
	for _, ct := range crashTimes {
		sum += ct.survival(age)
	}
	if h.crashes == 0 {
		return sum
	}
	later := math.Exp(-(age-h.age).Abs().Seconds()/h.spread().Seconds()) / 2
	if age < h.age {
		later = 1 - later
	}
	return sum/2 + later/2
}

// spread returns the mean deviation of the time until the next crash from the last one.
func (h crashHistory) spread() time.Duration {
	return crashAgeDeviation + time.Duration(crashAgeRelativeDeviation*float64(h.age))
}

// afterSurvival returns the suspicion of the task after a run that has lasted for an age.
func (h crashHistory) afterSurvival(age time.Duration) float64 {
	survival := h.survival(age)
	p := h.probability()
	return p * survival / (p*survival + 1 - p)
}

// crashUnit returns the task that holds the crash history of t: the first one of a gang,
// whose tasks start and end together, or t.
func (t *task) crashUnit() *task {
	if t.step.spec.Gang {
		return t.step.tasks[0]
	}
	return t
}

// blame is a unit's part in one crash.
type blame struct {
	unit   *task
	run    int // number of its run
	age    time.Duration
	share  float64 // probability that it caused the crash
	before float64 // its suspicion before
	after  float64
}

// shareBlame divides the probability of having caused a crash among the units of its victims
// and a cause outside them, to which the fleet's rate of crashes, per executor and second,
// belongs. Ended is the time at which the executor crashed.
func shareBlame(victims []*run, ended time.Duration, rate float64) []blame {
	var out []blame
	for _, r := range victims {
		unit, age := r.task.crashUnit(), max(0, ended-r.startedAt)
		if unit.crashedRun == r.number {
			continue // a gang that has lost another executor
		}
		i := slices.IndexFunc(out, func(b blame) bool { return b.unit == unit })
		if i < 0 {
			out = append(out, blame{unit: unit, run: r.number, age: age, before: unit.crash.suspicion})
			continue
		}
		out[i].age = min(out[i].age, age)
	}
	sum := rate
	for i := range out {
		b := &out[i]
		b.share = b.unit.crash.probability() * b.unit.crash.density(b.age)
		sum += b.share
	}
	for i := range out {
		b := &out[i]
		b.share /= sum
		b.after = b.share + (1-b.share)*b.unit.crash.afterSurvival(b.age)
	}
	return out
}
