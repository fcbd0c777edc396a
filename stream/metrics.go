package stream

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlock/peridotlock/platform"
)

// writerMetrics counts what a writer sends to the log. All writers of a process
// share them.
type writerMetrics struct {
	appends     *metrics.Counter
	records     *metrics.Counter
	bytes       *metrics.Counter
	breakerOpen *metrics.Gauge // 1 from the opening to the next success
	queued      *metrics.Gauge // entries that wait or are written
	budgetWait  *metrics.FloatCounter
	found       *metrics.Counter // entries in doubt, by how that ended
	absent      *metrics.Counter
	unknown     *metrics.Counter
}

func newWriterMetrics() writerMetrics {
	return writerMetrics{
		appends: metrics.GetOrCreateCounter("peridotlock_log_appends_total"),
		records: metrics.GetOrCreateCounter("peridotlock_log_records_total"),
		bytes:   metrics.GetOrCreateCounter("peridotlock_log_append_bytes_total"),

		breakerOpen: metrics.GetOrCreateGauge("peridotlock_log_breaker_open", nil),
		queued:      metrics.GetOrCreateGauge("peridotlock_log_queued_entries", nil),
		budgetWait:  metrics.GetOrCreateFloatCounter("peridotlock_log_budget_wait_seconds_total"),
		found:       metrics.GetOrCreateCounter(`peridotlock_log_in_doubt_total{outcome="found"}`),
		absent:      metrics.GetOrCreateCounter(`peridotlock_log_in_doubt_total{outcome="absent"}`),
		unknown:     metrics.GetOrCreateCounter(`peridotlock_log_in_doubt_total{outcome="unknown"}`),
	}
}

func (m writerMetrics) count(rs []platform.NewRecord) {
	m.appends.Inc()
	m.records.Add(len(rs))
	for _, r := range rs {
		m.bytes.Add(len(r.ID) + len(r.Data))
	}
}

func (m writerMetrics) countResolved(d *doubt) {
	m.found.Add(len(d.found))
	m.absent.Add(len(d.absent))
	m.unknown.Add(len(d.open))
}
