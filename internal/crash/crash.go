// Package crash ends the process after a panic with a structured last line in its log.
//
// It covers the goroutines that defer End. The Go runtime ends the process by itself, with
// lines without keys on standard error, for panics in other goroutines and for its fatal
// errors: concurrent use of a map, a stack overflow, no memory, a deadlock, a signal as
// SIGABRT. These can't be recovered, and debug.SetCrashOutput only copies the same text.
package crash

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// ExitCode is the exit code after a panic, the same as that of the Go runtime.
const ExitCode = 2

const (
	maxValueBytes = 300
	maxFrames     = 8
	maxStackBytes = 800
	maxTraceBytes = 64 << 10
	modulePrefix  = "github.com/peridotlock/peridotlock/"
	// writeTimeout bounds the write of the trace and that of the last line. A process whose
	// output is blocked must end, so that it is restarted.
	writeTimeout = time.Second
)

// output holds where a process reports its end.
type output struct {
	log   logr.Logger
	trace io.Writer
}

var (
	current atomic.Pointer[output]
	ending  sync.Mutex // held until the process exits, so that it has one last line
)

// SetOutput makes End write the trace to trace and the last line to log, whose writer must
// not buffer it, and exit. Without it, a panic goes on to the Go runtime. reset undoes it.
func SetOutput(log logr.Logger, trace io.Writer) (reset func()) {
	before := current.Swap(&output{log: log, trace: trace})
	return func() { current.Store(before) }
}

// End ends the process if the goroutine that defers it panics. about returns keys and
// values that tell what the goroutine worked on; nil if that is not known.
func End(about func() []any) {
	v := recover()
	if v == nil {
		return
	}
	out := current.Load()
	if out == nil {
		panic(v)
	}
	p := Capture(v)
	trace := make([]byte, maxTraceBytes)
	trace = trace[:runtime.Stack(trace, false)]
	ending.Lock()
	write(func() { fmt.Fprintf(out.trace, "panic: %v\n\n%s\n", v, trace) })
	write(func() {
		values := []any{"stack", p.Stack}
		if about != nil {
			values = append(values, about()...)
		}
		out.log.Error(p, "process ended by a panic", values...)
	})
	os.Exit(ExitCode)
}

// Go runs f in a goroutine that defers End.
func Go(f func(), keysAndValues ...any) {
	go func() {
		defer End(func() []any { return keysAndValues })
		f()
	}()
}

// write runs f, for writeTimeout at most.
func write(f func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-time.After(writeTimeout):
	}
}

// Panic describes a panic in bounded length. As an error it has the panic's value.
type Panic struct {
	Value string
	Stack string // the first frames, separated by "; "
}

// Capture describes a panic with the value v. It must be called by the deferred function
// that recovered it.
func Capture(v any) Panic {
	return Panic{Value: shorten(fmt.Sprint(v), maxValueBytes), Stack: shorten(stack(), maxStackBytes)}
}

// Error implements error.
func (p Panic) Error() string { return p.Value }

func shorten(s string, maxBytes int) string {
	if len(s) <= maxBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxBytes], "") + "..."
}

// stack returns the frames from the first panic of the goroutine outwards.
func stack() string {
	const maxDepth = 256
	callers := make([]uintptr, maxDepth)
	frames := runtime.CallersFrames(callers[:runtime.Callers(1, callers)])
	var out []string
	for {
		f, more := frames.Next()
		switch {
		case f.Function == "runtime.gopanic":
			out = out[:0] // a later panic may repeat this one
		case strings.HasPrefix(f.Function, "runtime."):
		case len(out) < maxFrames:
			out = append(out, fmt.Sprintf("%s %s:%d", strings.TrimPrefix(f.Function, modulePrefix), filepath.Base(f.File), f.Line))
		}
		if !more {
			return strings.Join(out, "; ")
		}
	}
}
