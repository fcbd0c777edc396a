package load

import (
	"bytes"
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func run(args ...string) (int, string, string) {
	var out, log bytes.Buffer
	code := Run(context.Background(), args, &out, &log)
	return code, out.String(), log.String()
}

func TestRun(t *testing.T) {
	Convey("A small experiment finds no violation and prints a row for each entry", t, func() {
		code, out, log := run("experiment", "--entries", "2", "--endpoints", "4", "--away", "2", "--shares", "0.3",
			"--no-faults", "--duration", "400ms", "--deadline", "3s")
		So(log, ShouldBeEmpty)
		So(code, ShouldEqual, exitOK)
		So(out, ShouldContainSubstring, "| 30 % | naive |")
		So(out, ShouldContainSubstring, "| 30 % | peridotlock |")
	})
	Convey("A target without an answer counts as lost", t, func() {
		code, _, log := run("drive", "--target", "127.0.0.1:1", "--rate", "20", "--duration", "100ms")
		So(code, ShouldEqual, exitViolation)
		So(log, ShouldContainSubstring, "lost, doubled or misreported")
	})
	Convey("Bad arguments give exit code 2", t, func() {
		code, _, log := run("drive", "--rate", "x")
		So(code, ShouldEqual, exitUsage)
		So(log, ShouldContainSubstring, "--help")
		code, _, _ = run("drive", "--target", "localhost:80")
		So(code, ShouldEqual, exitUsage)
	})
}
