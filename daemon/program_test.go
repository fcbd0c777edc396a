package daemon

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const nodeFile = `
name: entry-1
failure-domain: zavod/kontinent/zagreb-a
callers: 127.0.0.1:8080
entry-operators: 127.0.0.1:8081
control: 127.0.0.1:8082
operators: 127.0.0.1:8083
log: [127.0.0.1:9000]
vms: [127.0.0.1:9000]
`

func TestProgram(t *testing.T) {
	Convey("Given a daemon and the file of its node", t, func() {
		file := filepath.Join(t.TempDir(), "node.yaml")
		write := func(text string) { So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil) }
		var served error
		p := Program{Name: "peridotlock-test", Serve: func(_ context.Context, i Instance) error {
			i.Log.V(1).Info("hidden")
			i.SetVerbosity(1)
			i.Log.V(1).Info("shown", "node", i.Node.Name)
			return served
		}}
		var out, log bytes.Buffer
		run := func(args ...string) int { return p.Run(context.Background(), args, &out, &log) }

		Convey("it ends with 0, and its verbosity can be changed while it runs", func() {
			write(nodeFile)
			So(run("--config", file), ShouldEqual, ExitOK)
			So(log.String(), ShouldNotContainSubstring, "hidden")
			So(log.String(), ShouldContainSubstring, "msg=shown node=entry-1")
		})
		Convey("a failure ends it with 1", func() {
			write(nodeFile)
			served = errors.New("address in use")
			So(run("--config", file), ShouldEqual, ExitFailure)
			So(log.String(), ShouldContainSubstring, `err="address in use"`)
		})
		Convey("bad flags and files end it with 2 and all findings", func() {
			So(run("--colour", "red"), ShouldEqual, ExitUsage)
			So(run("--config", file), ShouldEqual, ExitUsage)
			write(nodeFile + "colour: red\ntrace-share: 7\n")
			log.Reset()
			So(run("--config", file), ShouldEqual, ExitUsage)
			So(log.String(), ShouldContainSubstring, "field colour not found")
			So(log.String(), ShouldContainSubstring, "trace-share: 7 is not between 0 and 1")
		})
		Convey("help ends it with 0", func() {
			So(run("--help"), ShouldEqual, ExitOK)
			So(out.String(), ShouldContainSubstring, "--config")
		})
	})
}
