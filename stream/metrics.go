package stream

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlock/peridotlock/platform"
)

// writerMetrics counts what a writer sends to the log.
type writerMetrics struct {
	appends *metrics.Counter
	records *metrics.Counter
	bytes   *metrics.Counter
}

func newWriterMetrics() writerMetrics {
	return writerMetrics{
		appends: metrics.GetOrCreateCounter("peridotlock_log_appends_total"),
		records: metrics.GetOrCreateCounter("peridotlock_log_records_total"),
		bytes:   metrics.GetOrCreateCounter("peridotlock_log_append_bytes_total"),
	}
}

func (m writerMetrics) count(rs []platform.NewRecord) {
	m.appends.Inc()
	m.records.Add(len(rs))
	for _, r := range rs {
		m.bytes.Add(len(r.ID) + len(r.Data))
	}
}
