package balance

import "time"

const (
	slowRatio = 5.0                   // of an endpoint's mean latency to that of its set
	slowFloor = 20 * time.Millisecond // below this mean latency no endpoint is slow
)

// Learn records the latency d of an answer of e.
func (s *Set) Learn(e *Endpoint, d time.Duration, now time.Time) {
	e.Latency.Observe(d)
	e.Limit.Observe(d, s.Latency.Mean(), now)
	s.Latency.Observe(d)
}

// Succeed records a good answer of e. It reports whether the endpoint was
// ejected until now.
func (s *Set) Succeed(e *Endpoint) bool {
	if !e.Health.Succeed() {
		return false
	}
	s.ejected.Add(-1)
	return true
}

// Fail records a failure of e and ejects it unless too many are ejected. It
// reports whether e was ejected.
func (s *Set) Fail(e *Endpoint, now time.Time) bool {
	return e.Health.Fail(now) && s.eject(e, now)
}

// FailConnect records that e took no connection, which needs no second sign.
func (s *Set) FailConnect(e *Endpoint, now time.Time) bool {
	if e.Health.IsEjected() {
		e.Health.ejectAgain(now)
		return false
	}
	return s.eject(e, now)
}

// EjectSlow ejects e when its latency is far above that of the set. It reports
// whether e was ejected.
func (s *Set) EjectSlow(e *Endpoint, now time.Time) bool {
	mean := e.Latency.Mean()
	if mean < slowFloor || float64(mean) < slowRatio*float64(s.Latency.Mean()) {
		return false
	}
	if e.Health.IsEjected() || !s.eject(e, now) {
		return false
	}
	e.Latency.Forget()
	return true
}

func (s *Set) eject(e *Endpoint, now time.Time) bool {
	m := s.members.Load()
	if countEjected(m.local)+countEjected(m.remote) >= m.eject {
		return false
	}
	s.ejected.Add(1)
	e.Health.Eject(now)
	return true
}

func countEjected(list []member) int {
	n := 0
	for _, m := range list {
		if m.endpoint.Health.IsEjected() {
			n++
		}
	}
	return n
}
