package telemetry

import (
	"bytes"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLogger(t *testing.T) {
	Convey("Each event is one line of key=value pairs at a named level", t, func() {
		var out bytes.Buffer
		var v Verbosity
		log := NewLogger(&out, &v)

		log.V(1).Info("hidden")
		So(out.String(), ShouldBeEmpty)
		v.Set(1)
		log.V(1).Info("task start", "task", "a/1")
		log.Error(errors.New("line one\nline two"), "failed")
		lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
		So(len(lines), ShouldEqual, 2)
		So(string(lines[0]), ShouldContainSubstring, `level=DEBUG msg="task start" task=a/1`)
		So(string(lines[1]), ShouldContainSubstring, `level=ERROR msg=failed err="line one\nline two"`)
	})
}
