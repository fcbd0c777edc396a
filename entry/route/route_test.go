package route

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/settings"
)

func TestFind(t *testing.T) {
	table := NewTable([]settings.Service{
		{Path: "registry", Routes: []settings.Route{
			{Prefix: "/registry", Class: fleet.NonIdempotent},
			{Prefix: "/registry", Method: "GET", Class: fleet.Idempotent},
			{Prefix: "/registry/watch", Method: "GET", Class: fleet.Watch},
		}},
		{Path: "desk", Hosts: []string{"desk.example"}, Routes: []settings.Route{{Prefix: "/", Class: fleet.NonIdempotent}}},
	})
	Convey("The host, then the longest prefix with the method decide", t, func() {
		for _, c := range []struct {
			host, method, path string
			service            int
			class              fleet.RequestClass
		}{
			{"a", "GET", "/registry/7", 0, fleet.Idempotent},
			{"a", "POST", "/registry/7", 0, fleet.NonIdempotent},
			{"a", "GET", "/registry/watch", 0, fleet.Watch},
			{"a", "POST", "/registry/watch", 0, fleet.NonIdempotent},
			{"Desk.example:80", "GET", "/registry/7", 1, fleet.NonIdempotent},
		} {
			m, ok := table.Find(c.host, c.method, c.path)
			So(ok, ShouldBeTrue)
			So(m, ShouldResemble, Match{Service: c.service, Class: c.class})
		}
		_, ok := table.Find("a", "GET", "/registryx")
		So(ok, ShouldBeFalse)
	})
	Convey("Paths that an endpoint could read otherwise are not canonical", t, func() {
		for _, p := range []string{"", "a", "//", "/a//b", "/a/./b", "/a/../b", "/..", "/a\\b", "/a\x00"} {
			So(IsCanonical(p), ShouldBeFalse)
		}
		for _, p := range []string{"/", "/a", "/a/", "/a/b.c"} {
			So(IsCanonical(p), ShouldBeTrue)
		}
	})
}
