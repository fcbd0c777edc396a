// Package telemetry builds the logger, the tracer and the metrics of a daemon.
package telemetry

import (
	"io"
	"log/slog"
	"sync/atomic"

	"github.com/go-logr/logr"
)

// Verbosity is the log verbosity; it may be changed while the daemon runs.
// Level 0 logs what operators act on, 1 each decision, 2 each message.
type Verbosity struct{ level atomic.Int32 }

// Set changes the verbosity.
func (v *Verbosity) Set(level int) { v.level.Store(int32(level)) }

// Level implements slog.Leveler.
func (v *Verbosity) Level() slog.Level { return slog.Level(-v.level.Load()) }

// NewLogger returns a logger that writes one line of key=value pairs for each
// event to w.
func NewLogger(w io.Writer, v *Verbosity) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(w, &slog.HandlerOptions{Level: v, ReplaceAttr: nameLevel}))
}

// nameLevel gives the verbosities of logr names of their own.
func nameLevel(_ []string, a slog.Attr) slog.Attr {
	level, ok := a.Value.Any().(slog.Level)
	if a.Key != slog.LevelKey || !ok {
		return a
	}
	switch level {
	case -1:
		return slog.String(slog.LevelKey, "DEBUG")
	case -2:
		return slog.String(slog.LevelKey, "TRACE")
	}
	return a
}
