package colocate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	tide      = 14 * time.Second // of users who come in waves
	tideSwing = 0.22             // of the congestion
	scatter   = 0.1              // of a reading, either way
)

func waveAt(at, phase time.Duration) float64 {
	return tideSwing * math.Sin(2*math.Pi*float64(at+phase)/float64(tide))
}

// TestLoad replays a service of six tasks whose users come in waves.
func TestLoad(t *testing.T) {
	Convey("The load of a service is foreseen half a second ahead", t, func() {
		rng := rand.New(rand.NewPCG(1, 1))
		var l Load
		wrong, blind, n := 0.0, 0.0, 0.0
		for at := time.Duration(0); at < time.Minute; at += 700 * time.Millisecond {
			for range 6 {
				l.Observe(waveAt(at, 0)+scatter*(2*rng.Float64()-1), at)
			}
			if at < 5*time.Second {
				continue
			}
			ahead := at + 500*time.Millisecond
			wrong += math.Abs(l.Forecast(ahead) - waveAt(ahead, 0))
			blind += math.Abs(waveAt(ahead, 0))
			n++
		}
		So(wrong/n, ShouldBeLessThan, blind/n/3)
	})
	Convey("Without readings nothing is foreseen, and old readings fade", t, func() {
		var l Load
		So(l.Forecast(time.Second), ShouldEqual, 0)
		l.Observe(0.4, time.Second)
		near, far := l.Forecast(time.Second), l
		far.move(time.Minute)
		So(near, ShouldBeGreaterThan, 0.1)
		So(far.Forecast(time.Minute), ShouldAlmostEqual, 0, 0.01)
	})
}

// TestModelBesideWaves replays services in waves whose fillers work mostly in
// the troughs, as the pace has them do: pressure then goes with low tails.
func TestModelBesideWaves(t *testing.T) {
	Convey("Sensitive images and heavy fillers are told from others", t, func() {
		for seed := range uint64(10) {
			tr := newTruth(seed)
			m := NewModel()
			for at := time.Duration(0); at < 40*time.Second; at += 500 * time.Millisecond {
				for i := range 30 {
					image := []string{"calm", "touchy"}[i%2]
					service := fmt.Sprint(image, i/6)
					load := waveAt(at, time.Duration(i/6)*3*time.Second)
					var fillers []Filler
					for range 2 {
						if load < 0 && tr.rng.Float64() < 0.8 {
							fillers = append(fillers, filler([]string{"light", "heavy"}[tr.rng.IntN(2)]))
						}
					}
					h := host([]string{image}, fillers...)
					congestion := 0.35 + load
					for _, f := range fillers {
						congestion += tr.sensitivity[image] * tr.pressure[f.Image] * f.share(h.fullSize())
					}
					tail := 0.22 / (1 - min(0.98, congestion)) * (0.8 + 0.4*tr.rng.Float64())
					m.Observe(Server{Image: image, Service: service, Tail: tail}, fillers, h, at)
				}
				m.Fit()
			}
			So(m.Sensitivity("touchy"), ShouldBeGreaterThan, 3*m.Sensitivity("calm"))
			So(m.pressureOf("heavy"), ShouldBeGreaterThan, 3*m.pressureOf("light"))
			So(m.pressureOf("light"), ShouldBeGreaterThan, tr.pressure["light"]/5)
			truth := tr.sensitivity["touchy"] * tr.pressure["heavy"]
			So(m.Sensitivity("touchy")*m.pressureOf("heavy"), ShouldBeBetween, truth/1.4, truth*1.4)
		}
	})
}
