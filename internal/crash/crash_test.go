package crash

import (
	"errors"
	"strings"
	"testing"
	"unicode/utf8"

	. "github.com/smartystreets/goconvey/convey"
)

// capture returns the description of the panic of f.
func capture(f func()) (p Panic) {
	defer func() { p = Capture(recover()) }()
	f()
	return p
}

func indexOutOfRange(s []int, i int) int { return s[i] }

func deep(n int) {
	if n == 0 {
		panic("deep")
	}
	deep(n - 1)
}

func TestCapture(t *testing.T) {
	Convey("The stack begins with the function that panicked", t, func() {
		p := capture(func() { indexOutOfRange(nil, 3) })
		So(p.Value, ShouldEqual, "runtime error: index out of range [3] with length 0")
		So(p.Stack, ShouldStartWith, "internal/crash.indexOutOfRange crash_test.go:")
	})
	Convey("also after the panic has been passed on", t, func() {
		p := capture(func() {
			defer func() { panic(recover()) }()
			indexOutOfRange(nil, 3)
		})
		So(p.Stack, ShouldStartWith, "internal/crash.indexOutOfRange crash_test.go:")
	})
	Convey("An error's text is the value", t, func() {
		So(capture(func() { panic(errors.New("no room")) }).Error(), ShouldEqual, "no room")
	})
	Convey("A long value and a deep stack are cut", t, func() {
		p := capture(func() { panic(strings.Repeat("ž", 10_000)) })
		So(len(p.Value), ShouldBeLessThanOrEqualTo, maxValueBytes+len("..."))
		So(utf8.ValidString(p.Value), ShouldBeTrue)
		So(strings.Count(capture(func() { deep(1000) }).Stack, "; "), ShouldEqual, maxFrames-1)
		So(len(capture(func() { deep(1000) }).Stack), ShouldBeLessThanOrEqualTo, maxStackBytes+len("..."))
	})
}

func TestEndWithoutOutput(t *testing.T) {
	Convey("Without an output, End passes the panic on to the runtime", t, func() {
		So(func() {
			defer End(nil)
			panic("x")
		}, ShouldPanicWith, "x")
	})
	Convey("Without a panic, End does nothing", t, func() {
		So(func() { defer End(nil) }, ShouldNotPanic)
	})
}
