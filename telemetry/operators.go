package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
)

// NewOperatorsMux returns the handler of a daemon's operators' address: /metrics,
// /healthz (the process answers) and /readyz (it may get work). ready returns
// nil or why the daemon is not ready. Metrics are those of set, of the packages
// that count for the whole process, and of the process.
func NewOperatorsMux(set *metrics.Set, ready func() error) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WritePrometheus(w, true)
		writeBuildInfo(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, "not ready: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	})
	return mux
}

// writeBuildInfo writes the version of the program as a metric.
func writeBuildInfo(w io.Writer) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return
	}
	revision := ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Fprintf(w, "peridotlock_build_info{version=%q,revision=%q,go=%q} 1\n", info.Main.Version, revision, info.GoVersion)
}
