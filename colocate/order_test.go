package colocate

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// TestAnyOrder guards against estimates that depend on the order in which a model meets images: it
// compares a model with plainModel, image by image, over random events.
func TestAnyOrder(t *testing.T) {
	const seeds, events = 40, 60
	counts := map[string]int{}
	for seed := range uint64(seeds) {
		r := newOrderRun(seed)
		for range events {
			counts[r.step()]++
			if err := r.check(); err != nil {
				t.Fatalf("seed %d: %v\nevents: %v", seed, err, r.trace)
			}
		}
		counts["fits"] += r.fits
		counts["forgotten images"] += r.forgotten
		counts["publications before the first fit"] += r.early
	}
	t.Logf("%d seeds: %v", seeds, counts)
	for _, event := range []string{"readings", "fit", "peer", "predecessor", "takeover", "malformed", "fits", "publications before the first fit", "forgotten images"} {
		if counts[event] < seeds {
			t.Errorf("%d x %s in %d seeds, too few for the test to show anything", counts[event], event, seeds)
		}
	}
}

// orderRun applies the same events to a model and to a plainModel.
type orderRun struct {
	rng         *rand.Rand
	services    []string // serving images
	batch       []string // best-effort images
	running     []int    // of batch, those beside new readings
	model       *Model
	plain       *plainModel
	at          time.Duration
	sinceFit    int
	fits, early int
	forgotten   int // best-effort images
	trace       []string
}

func newOrderRun(seed uint64) *orderRun {
	r := &orderRun{rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range 1 + r.rng.IntN(6) {
		r.services = append(r.services, "s"+strconv.Itoa(i))
	}
	images := 1 + r.rng.IntN(8)
	if seed%8 == 0 {
		images = maxImages // more than are retained without use
	}
	for i := range images {
		r.batch = append(r.batch, "b"+strconv.Itoa(i))
	}
	r.running = []int{0}
	r.start()
	return r
}

func (r *orderRun) start() {
	r.model, r.plain, r.sinceFit = NewModel(), newPlainModel(), 0
}

func (r *orderRun) step() string {
	event := []string{"readings", "readings", "readings", "fit", "fit", "peer", "predecessor", "takeover", "malformed"}[r.rng.IntN(9)]
	r.trace = append(r.trace, event)
	switch event {
	case "readings":
		r.running = r.rng.Perm(len(r.batch))[:min(maxImages/2, len(r.batch))]
		if r.rng.IntN(4) == 0 {
			r.at += readingWindow
		}
		for range 1 + r.rng.IntN(60) {
			r.read()
		}
	case "fit":
		if r.sinceFit >= minNewReadings {
			r.plain.fit(r.model) // before the model's, which changes the season
			r.fits++
			r.sinceFit = 0
		}
		before := len(r.model.bestEffort)
		r.model.Fit()
		r.forgotten += before - len(r.model.bestEffort)
	case "peer":
		number, s := r.rng.IntN(4), r.statistics()
		r.model.SetPeer(number, s)
		r.plain.peers[number] = plainStatisticsOf(s)
		r.plain.adopt()
		overwrite(s)
	case "predecessor":
		s := r.statistics()
		r.model.SetPredecessor(s)
		r.plain.predecessor = plainStatisticsOf(s)
		r.plain.adopt()
		overwrite(s)
	case "takeover":
		s := r.model.Statistics()
		r.start()
		if r.rng.IntN(2) == 0 {
			r.read() // before the predecessor's record is read
		}
		r.model.SetPredecessor(s)
		r.plain.predecessor = plainStatisticsOf(s)
		r.plain.adopt()
	case "malformed":
		s := r.statistics()
		switch r.rng.IntN(4) {
		case 0:
			s.Spread = math.NaN()
		case 1:
			s.BestEffort = append(s.BestEffort, "twice", "twice")
		case 2:
			s.Serving["x"] = ServingStatistics{UnloadedTail: 0.2, Effects: []Estimate{{Row: len(s.BestEffort)}}}
		case 3:
			s.Serving["x"] = ServingStatistics{UnloadedTail: 0.2, Base: Estimate{Mean: 1, Information: float32(math.Inf(1))}}
		}
		r.model.SetPeer(r.rng.IntN(4), s)
		r.model.SetPredecessor(s)
	}
	return event
}

// read adds a reading of a random host.
func (r *orderRun) read() {
	r.at += time.Duration(r.rng.IntN(200)) * time.Millisecond
	image := r.services[r.rng.IntN(len(r.services))]
	service := image + strconv.Itoa(r.rng.IntN(2))
	h := host([]string{image})
	shares := map[string]float64{}
	for range r.rng.IntN(4) {
		task := bestEffort(r.batch[r.running[r.rng.IntN(len(r.running))]])
		task.Pace = float64(r.rng.IntN(3)) / 2
		h.BestEffort = append(h.BestEffort, task)
		shares[task.Image] += task.share(h.capacity())
	}
	tail := 0.2 + r.rng.ExpFloat64()*0.3
	if _, ok := r.model.Observe(Server{Image: image, Service: service, Tail: tail}, h.BestEffort, h, r.at); !ok {
		panic("a reading was not taken")
	}
	r.sinceFit++
	congestion := r.model.readings[len(r.model.readings)-1].congestion
	r.plain.readings = append(r.plain.readings, plainReading{r.at, image, loadWindow{service, r.at / loadWindowLength}, congestion, shares})
}

// statistics returns valid statistics of some of the images in random order.
func (r *orderRun) statistics() Statistics {
	s := Statistics{Serving: map[string]ServingStatistics{}, Spread: 0.02 + r.rng.Float64()}
	for _, i := range r.rng.Perm(len(r.batch))[:r.rng.IntN(min(8, len(r.batch))+1)] {
		s.BestEffort = append(s.BestEffort, r.batch[i])
	}
	for _, i := range r.rng.Perm(len(r.services))[:r.rng.IntN(len(r.services)+1)] {
		image := ServingStatistics{UnloadedTail: 0.1 + r.rng.Float64(), Readings: r.rng.IntN(1000)}
		if r.rng.IntN(5) > 0 {
			image.Base = Estimate{Mean: r.rng.Float32(), Information: 100 * r.rng.Float32()}
		}
		for row := range s.BestEffort {
			if r.rng.IntN(2) == 0 {
				image.Effects = append(image.Effects, Estimate{Row: row, Mean: 5 * r.rng.Float32(), Information: 0.1 + 10*r.rng.Float32()})
			}
		}
		s.Serving[r.services[i]] = image
	}
	return s
}

// overwrite changes statistics that a model must not use any longer.
func overwrite(s Statistics) {
	for i := range s.BestEffort {
		s.BestEffort[i] = "overwritten"
	}
	for _, image := range s.Serving {
		for i := range image.Effects {
			image.Effects[i] = Estimate{Row: 0, Mean: 99, Information: 99}
		}
	}
	clear(s.Serving)
}

// check compares the estimates and the publication of the model with those of the
// plainModel, and looks for decisions that are not finite.
func (r *orderRun) check() error {
	for _, serving := range r.services {
		for _, image := range r.batch {
			got, want := r.model.Effect(serving, image), r.plain.effect(serving, image)
			if !almostEqual(got, want, 1e-6) {
				return fmt.Errorf("effect of %s on %s is %v, want %v", image, serving, got, want)
			}
		}
	}
	s := r.model.Statistics()
	if err := s.Validate(); err != nil {
		return fmt.Errorf("publication: %w", err)
	}
	if r.plain.fittedAt == 0 && len(r.plain.readings) > 0 && len(r.plain.predecessor) > 0 {
		r.early++
	}
	got := plainStatisticsOf(s)
	for _, serving := range r.services {
		want := r.plain.published(serving)
		for _, image := range append([]string{""}, r.batch...) {
			g, w := got[serving][image], want[image]
			if !almostEqual(g.information, w.information, 1e-3) {
				return fmt.Errorf("published information of %q on %s is %v, want %v", image, serving, g.information, w.information)
			}
			if w.information > 0.1 && !almostEqual(g.mean, w.mean, 1e-3) {
				return fmt.Errorf("published estimate of %q on %s is %v, want %v", image, serving, g.mean, w.mean)
			}
		}
	}
	return r.checkDecisions()
}

func (r *orderRun) checkDecisions() error {
	var tasks []BestEffortTask
	for range r.rng.IntN(4) {
		tasks = append(tasks, bestEffort(r.batch[r.rng.IntN(len(r.batch))]))
	}
	h := host([]string{r.services[0], r.services[len(r.services)-1], "unknown"}, tasks...)
	for _, pace := range r.model.Pace(h, 0) {
		if !inRange(pace, 0, 1) {
			return fmt.Errorf("pace %v", pace)
		}
	}
	task := bestEffort(r.batch[0])
	if score, refusal := r.model.ScoreBestEffort(task, fleet.Resources{MemoryMB: 1000}, h); refusal == NotRefused && !isFinite(score) {
		return fmt.Errorf("score %v of a best-effort task", score)
	}
	if score, refusal := r.model.ScoreOverdue(task, fleet.Resources{MemoryMB: 1000}, h, true); refusal == NotRefused && !isFinite(score) {
		return fmt.Errorf("score %v of an overdue best-effort task", score)
	}
	if score, ok := r.model.ScoreServer(r.services[0], h.Size.Sub(h.Reserved), h); ok && !isFinite(score) {
		return fmt.Errorf("score %v of a server", score)
	}
	if g := r.model.NewGrouping(); g != nil {
		if v := g.Value(h, g.Harms(h.Servers), &h.Servers[0], -1); !isFinite(v) {
			return fmt.Errorf("value %v of a host", v)
		}
	}
	return nil
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// almostEqual reports whether two values differ by less than a fraction of the larger
// one, or of 1.
func almostEqual(a, b, tolerance float64) bool {
	return math.Abs(a-b) <= tolerance*max(1, math.Abs(a), math.Abs(b))
}

// plainModel is the part of a Model that estimates effects, by image names and without
// rows. It takes the congestion of a reading and the seasonal load from the Model.
type plainModel struct {
	readings    []plainReading
	fittedAt    time.Duration
	peers       map[int]plainStatistics
	predecessor plainStatistics
	own         map[string]*plainEquations    // of the newest fit, by serving image
	solution    map[string]map[string]float64 // by serving and best-effort image, "" for the base
}

type plainReading struct {
	at         time.Duration
	serving    string
	window     loadWindow
	congestion float64
	shares     map[string]float64 // by best-effort image
}

type plainEstimate struct{ mean, information float64 }

// plainStatistics are estimates by serving and best-effort image, "" for the base.
type plainStatistics map[string]map[string]plainEstimate

func plainStatisticsOf(s Statistics) plainStatistics {
	out := plainStatistics{}
	for serving, image := range s.Serving {
		out[serving] = map[string]plainEstimate{"": {float64(image.Base.Mean), float64(image.Base.Information)}}
		for _, e := range image.Effects {
			out[serving][s.BestEffort[e.Row]] = plainEstimate{float64(e.Mean), float64(e.Information)}
		}
	}
	return out
}

func newPlainModel() *plainModel {
	return &plainModel{peers: map[int]plainStatistics{}, own: map[string]*plainEquations{}, solution: map[string]map[string]float64{}}
}

func (p *plainModel) effect(serving, image string) float64 {
	if v, ok := p.solution[serving][image]; ok {
		return v
	}
	return plainPrior(image).mean
}

func plainPrior(image string) plainEstimate {
	if image == "" {
		return plainEstimate{priorBase, basePriorWeight}
	}
	return plainEstimate{priorEffect, effectPriorWeight}
}

func (p *plainModel) adopt() {
	if len(p.readings) == 0 {
		p.solve()
	}
}

func (p *plainModel) fit(m *Model) {
	newest := p.readings[len(p.readings)-1].at
	p.readings = slices.DeleteFunc(p.readings, func(r plainReading) bool { return r.at < newest-readingWindow })
	if p.fittedAt > 0 {
		factor := math.Exp2(-float64(newest-p.fittedAt) / float64(predecessorHalfLife))
		for _, image := range p.predecessor {
			for name, e := range image {
				image[name] = plainEstimate{e.mean, e.information * factor}
			}
		}
	}
	p.fittedAt = newest
	for range fitRounds {
		load := p.loads(m)
		p.own = map[string]*plainEquations{}
		for _, r := range p.readings {
			if p.own[r.serving] == nil {
				p.own[r.serving] = newPlainEquations()
			}
			p.own[r.serving].add(r.congestion-load[r.window], r.shares)
		}
		p.solve()
	}
}

func (p *plainModel) loads(m *Model) map[loadWindow]float64 {
	sum, count := map[loadWindow]float64{}, map[loadWindow]float64{}
	for _, r := range p.readings {
		deviation := r.congestion - p.effect(r.serving, "")
		for image, share := range r.shares {
			deviation -= p.effect(r.serving, image) * share
		}
		sum[r.window] += deviation
		count[r.window]++
	}
	for w := range sum {
		weight, expected := loadPriorWeight, 0.0
		if m.Period() > 0 {
			weight, expected = seasonPriorWeight, m.SeasonalLoad(w.service, w.middle())
		}
		sum[w] = (sum[w] + weight*expected) / (count[w] + weight)
	}
	return sum
}

// solve solves the equations of all serving images.
func (p *plainModel) solve() {
	others := append(slices.Collect(maps.Values(p.peers)), p.predecessor)
	for _, serving := range p.known(others) {
		total := p.total(serving, others)
		names := total.names()
		x := total.solution(names)
		p.solution[serving] = map[string]float64{}
		for i, name := range names {
			if name == "" {
				p.solution[serving][name] = clamp(x[i], minBase, maxBase)
			} else {
				p.solution[serving][name] = clamp(x[i], 0, maxEffect)
			}
		}
	}
}

// known returns the serving images with readings or with statistics, now or at an
// earlier solution.
func (p *plainModel) known(others []plainStatistics) []string {
	known := map[string]bool{}
	for name := range p.own {
		known[name] = true
	}
	for name := range p.solution {
		known[name] = true
	}
	for _, other := range others {
		for name := range other {
			known[name] = true
		}
	}
	return slices.Sorted(maps.Keys(known))
}

// total returns the sum of the own equations of a serving image and the estimates of
// others.
func (p *plainModel) total(serving string, others []plainStatistics) *plainEquations {
	total := newPlainEquations()
	if own, ok := p.own[serving]; ok {
		maps.Copy(total.a, own.a)
		maps.Copy(total.b, own.b)
	}
	for _, other := range others {
		for image, e := range other[serving] {
			total.a[[2]string{image, image}] += e.information
			total.b[image] += e.information * e.mean
		}
	}
	return total
}

// published returns the estimates of a serving image for other models: of each
// coefficient if the others are unknown.
func (p *plainModel) published(serving string) map[string]plainEstimate {
	total := p.total(serving, []plainStatistics{p.predecessor})
	names := total.names()
	x := total.solution(names)
	out := map[string]plainEstimate{}
	for i, name := range names {
		unit := newPlainEquations()
		unit.a, unit.b = total.a, map[string]float64{name: 1}
		marginal := 1 / unit.solutionWithoutPriors(names)[i]
		prior := plainPrior(name)
		information := marginal - prior.information
		if information < minInformation && name != "" {
			continue
		}
		out[name] = plainEstimate{(marginal*x[i] - prior.information*prior.mean) / information, information}
	}
	return out
}

// plainEquations are the normal equations of one serving image by best-effort image,
// "" for the base.
type plainEquations struct {
	a map[[2]string]float64
	b map[string]float64
}

func newPlainEquations() *plainEquations {
	return &plainEquations{map[[2]string]float64{}, map[string]float64{}}
}

func (e *plainEquations) add(congestion float64, shares map[string]float64) {
	terms := map[string]float64{"": 1}
	maps.Copy(terms, shares)
	for i, x := range terms {
		e.b[i] += x * congestion
		for j, y := range terms {
			e.a[[2]string{i, j}] += x * y
		}
	}
}

// names returns the images with information, and "".
func (e *plainEquations) names() []string {
	names := map[string]bool{"": true}
	for pair, v := range e.a {
		if pair[0] == pair[1] && v > 0 {
			names[pair[0]] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func (e *plainEquations) solution(names []string) []float64 {
	b := make([]float64, len(names))
	for i, name := range names {
		prior := plainPrior(name)
		b[i] = e.b[name] + prior.information*prior.mean
	}
	return e.solve(names, b)
}

func (e *plainEquations) solutionWithoutPriors(names []string) []float64 {
	b := make([]float64, len(names))
	for i, name := range names {
		b[i] = e.b[name]
	}
	return e.solve(names, b)
}

// solve solves the equations with priors for a right-hand side.
func (e *plainEquations) solve(names []string, b []float64) []float64 {
	n := len(names)
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = make([]float64, n+1)
		for j := range names {
			rows[i][j] = e.a[[2]string{names[i], names[j]}]
		}
		rows[i][i] += plainPrior(names[i]).information
		rows[i][n] = b[i]
	}
	for i := range n {
		for j := range n {
			if f := rows[j][i] / rows[i][i]; j != i && f != 0 {
				for k := i; k <= n; k++ {
					rows[j][k] -= f * rows[i][k]
				}
			}
		}
	}
	for i := range n {
		b[i] = rows[i][n] / rows[i][i]
	}
	return b
}
