package interference

import (
	"math"
	"sync"
	"time"
)

// Options bounds a Learned model. The zero value of a member takes its
// default.
type Options struct {
	Prior        float64       // added slowdown of a pair that was never seen, 0 or more
	LearningRate float64       // part of an error that one report corrects, 0..1
	MaxStep      float64       // most that one report moves the added slowdown of a pair
	MaxExtra     float64       // largest added slowdown of a pair
	HalfLife     time.Duration // after which half of what was learned is forgotten
	MaxPairs     int           // pairs kept
}

// Defaults of Options.
const (
	DefaultPrior        = 0.05
	DefaultLearningRate = 0.2
	DefaultMaxStep      = 0.25
	DefaultMaxExtra     = 9.0
	DefaultHalfLife     = 30 * time.Minute
	DefaultMaxPairs     = 4096
)

func (o Options) withDefaults() Options {
	if o.Prior == 0 {
		o.Prior = DefaultPrior
	}
	if o.LearningRate == 0 {
		o.LearningRate = DefaultLearningRate
	}
	if o.MaxStep == 0 {
		o.MaxStep = DefaultMaxStep
	}
	if o.MaxExtra == 0 {
		o.MaxExtra = DefaultMaxExtra
	}
	if o.HalfLife == 0 {
		o.HalfLife = DefaultHalfLife
	}
	if o.MaxPairs == 0 {
		o.MaxPairs = DefaultMaxPairs
	}
	return o
}

type pair struct{ victim, neighbour string }

// LearnedModel estimates the added slowdown of each pair of kinds as a linear
// model: the slowdown of a task is 1 plus the sum over its neighbours. It
// corrects the pairs of a report by normalized least mean squares.
type LearnedModel struct {
	options Options

	mu    sync.RWMutex // protects extra
	extra map[pair]float64
}

// NewLearnedModel returns a model that knows no pair.
func NewLearnedModel(o Options) *LearnedModel {
	return &LearnedModel{options: o.withDefaults(), extra: make(map[pair]float64)}
}

// Slowdown implements Model.
func (l *LearnedModel) Slowdown(victim, neighbour string) float64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return 1 + l.extraOf(pair{victim, neighbour})
}

// Observe takes one measurement: a task of kind victim ran with the given
// slowdown while tasks of the kinds in neighbours shared its VM. The caller
// passes the neighbours of the time of the measurement, not of its arrival.
// Measurements that are not finite or below 1 count as 1.
func (l *LearnedModel) Observe(victim string, neighbours []string, slowdown float64) {
	if len(neighbours) == 0 {
		return
	}
	if math.IsNaN(slowdown) || slowdown < 1 {
		slowdown = 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	step := l.step(victim, neighbours, slowdown)
	for _, n := range neighbours {
		l.correct(pair{victim, n}, step)
	}
}

// step returns the correction that each neighbour gets.
func (l *LearnedModel) step(victim string, neighbours []string, slowdown float64) float64 {
	expected := 1.0
	for _, n := range neighbours {
		expected += l.extraOf(pair{victim, n})
	}
	limit := 1 + l.options.MaxExtra*float64(len(neighbours))
	err := min(slowdown, limit) - expected
	step := l.options.LearningRate * err / float64(len(neighbours))
	return max(-l.options.MaxStep, min(l.options.MaxStep, step))
}

func (l *LearnedModel) correct(p pair, step float64) {
	if _, known := l.extra[p]; !known && len(l.extra) >= l.options.MaxPairs {
		l.forgetOne()
	}
	l.extra[p] = max(0, min(l.options.MaxExtra, l.extraOf(p)+step))
}

// forgetOne drops the pair that differs least from the prior.
func (l *LearnedModel) forgetOne() {
	var least pair
	distance := math.Inf(1)
	for p, e := range l.extra {
		if d := math.Abs(e - l.options.Prior); d < distance {
			least = p
			distance = d
		}
	}
	delete(l.extra, least)
}

func (l *LearnedModel) extraOf(p pair) float64 {
	if e, ok := l.extra[p]; ok {
		return e
	}
	return l.options.Prior
}

// Decay moves all pairs towards the prior as elapsed time asks for.
func (l *LearnedModel) Decay(elapsed time.Duration) {
	keep := math.Exp2(-float64(elapsed) / float64(l.options.HalfLife))
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, e := range l.extra {
		l.extra[p] = l.options.Prior + (e-l.options.Prior)*keep
	}
}

// Len returns the number of pairs known.
func (l *LearnedModel) Len() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.extra)
}
