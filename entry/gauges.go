package entry

// addGauges adds what the entry holds at the moment to its metrics.
func (e *Entry) addGauges() {
	set := e.metrics.Set()
	set.NewGauge(`peridotlock_entry_watches`, func() float64 { return float64(e.watches.Load()) })
	set.NewGauge(`peridotlock_entry_body_bytes`, func() float64 { return float64(e.bodyBytes.Load()) })
	set.NewGauge(`peridotlock_entry_queued_requests`, e.sum(func(s *service) int { return s.queue.Waiting() }))
	set.NewGauge(`peridotlock_entry_in_flight_requests`, e.sum(func(s *service) int { return s.set.Status().InFlight }))
	set.NewGauge(`peridotlock_entry_slots`, e.sum(func(s *service) int { return s.set.Status().Slots }))
	set.NewGauge(`peridotlock_entry_connections`, e.sum(func(s *service) int { return s.set.Status().Connections }))
	set.NewGauge(`peridotlock_entry_open_endpoints`, e.sum(openEndpoints))
	set.NewGauge(`peridotlock_entry_ejected_endpoints`, e.sum(func(s *service) int { return s.set.Status().Ejected }))
}

func openEndpoints(s *service) int {
	status := s.set.Status()
	return status.Endpoints - status.Ejected
}

// sum returns a function that adds a figure of all services in force.
func (e *Entry) sum(of func(*service) int) func() float64 {
	return func() float64 {
		w := e.current.Load()
		if w == nil {
			return 0
		}
		total := 0
		for _, s := range w.services {
			total += of(s)
		}
		return float64(total)
	}
}
