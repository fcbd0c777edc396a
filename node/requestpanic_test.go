package node

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/config"
)

func TestRequestPanic(t *testing.T) {
	Convey("A panic in the handling of a request aborts that request alone and is logged and counted", t, func() {
		c := &cluster{}
		log := newFaultyLog(c, "")
		n := New(config.VM{Name: "vm-0", Log: "127.0.0.1:1"}, c.log)
		server := httptest.NewServer(n.abortPanics(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/q/"+id1 {
				panic(injected)
			}
		})))
		defer server.Close()
		_, err := http.Get(server.URL + "/q/" + id1)
		So(err, ShouldNotBeNil)
		lines := log.with(`"msg"="request aborted by a panic"`)
		So(len(lines), ShouldEqual, 1)
		So(lines[0], ShouldContainSubstring, `"error"="`+injected+`" "method"="GET"`)
		So(lines[0], ShouldContainSubstring, `"path"="/q/`+id1+`" "stack"="node.TestRequestPanic`)
		So(n.set.GetOrCreateCounter("peridotlock_request_panics_total").Get(), ShouldEqual, 1)
		reply, err := http.Get(server.URL + "/q/" + id2)
		So(err, ShouldBeNil)
		reply.Body.Close()
		So(reply.StatusCode, ShouldEqual, http.StatusOK)
	})
}
