package config

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/finding"
)

const validNode = `
name: entry-1
failure-domain: zavod/kontinent/zagreb-a
callers: 127.0.0.1:8080
entry-operators: 127.0.0.1:8081
control: 127.0.0.1:8082
operators: 127.0.0.1:8083
log: [127.0.0.1:9000]
vms: [127.0.0.1:9000]
`

func TestParse(t *testing.T) {
	Convey("A valid file has no findings", t, func() {
		n, err := Parse("node.yaml", []byte(validNode))
		So(err, ShouldBeNil)
		So(n.Name, ShouldEqual, "entry-1")
	})
	Convey("Parse reports all findings, each with its position", t, func() {
		_, err := Parse("node.yaml", []byte("name: entry-1\ncallers: localhost:80\ntrace-share: 2\ncolour: red\n"))
		var found finding.List
		So(errors.As(err, &found), ShouldBeTrue)
		So(found[0].String(), ShouldStartWith, "node.yaml:4:1: field colour not found")
		paths := make(map[string]bool)
		for _, f := range found {
			paths[f.Path] = true
			So(f.Line, ShouldBeGreaterThan, 0)
		}
		So(found.Error(), ShouldContainSubstring, `node.yaml:2:10: callers: "localhost:80" is not an IP number and port`)
		for _, p := range []string{"failure-domain", "callers", "entry-operators", "control", "operators", "trace-share", "log", "vms"} {
			So(paths, ShouldContainKey, p)
		}
	})
}
