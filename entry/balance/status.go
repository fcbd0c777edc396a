package balance

// Status is what a set holds at the moment.
type Status struct {
	Endpoints   int // that may get work
	Ejected     int
	InFlight    int // requests that hold a slot
	Slots       int // of this entry
	Connections int // open
}

// Status returns the sums over all endpoints of the set.
func (s *Set) Status() Status {
	var out Status
	m := s.members.Load()
	for _, list := range [...][]member{m.local, m.remote} {
		for _, member := range list {
			out.add(member.endpoint)
		}
	}
	return out
}

func (s *Status) add(e *Endpoint) {
	s.Endpoints++
	s.InFlight += e.InFlight()
	s.Slots += int(e.Limit.Value())
	s.Connections += e.Pool.Open()
	if e.Health.IsEjected() {
		s.Ejected++
	}
}
