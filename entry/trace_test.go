package entry_test

import (
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/goleak"

	"github.com/peridotlock/peridotlock/load"
)

func TestSpans(t *testing.T) {
	Convey("A request has a span for each hop, all in the caller's trace", t, func() {
		spans := tracetest.NewSpanRecorder()
		b := newBench(benchOptions{endpoints: 2, fault: firstRun(load.FaultDrop),
			tracer: sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("")})
		Reset(b.close)
		const parent = "0af7651916cd43dd8448eb211c80319c"
		So(b.send("GET", "/lookups", "a", "", "Traceparent", "00-"+parent+"-b7ad6b7169203331-01").status, ShouldEqual, 200)
		So(eventually(func() bool { return len(spans.Ended()) == 3 }), ShouldBeTrue)
		names := make(map[string]int)
		for _, s := range spans.Ended() {
			names[s.Name()]++
			So(s.SpanContext().TraceID().String(), ShouldEqual, parent)
		}
		So(names, ShouldResemble, map[string]int{"request": 1, "attempt": 2})
	})
}

func TestNoLeaks(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	Convey("Faults of all kinds leave no goroutine behind", t, func() {
		b := newBench(benchOptions{endpoints: 3, fault: func(id string, _ int) load.Fault {
			fault, _, _ := strings.Cut(id, "/")
			return load.Fault(fault)
		}})
		var pending sync.WaitGroup
		for _, fault := range load.Faults {
			pending.Go(func() { b.send("GET", "/lookups", string(fault)+"/l", "") })
			pending.Go(func() { b.send("POST", "/records", string(fault)+"/r", "pipe") })
		}
		pending.Wait()
		b.close()
		b.entry.Close()
		So(eventually(func() bool { return goleak.Find(ignore) == nil }), ShouldBeTrue)
	})
}
