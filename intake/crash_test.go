package intake

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/internal/crash"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/submission"
	"github.com/peridotlock/peridotlock/telemetry"
)

// panicVariable makes the test binary run TestPanicOfReplica as a process in which applying
// a caller's record to the replica panics.
const panicVariable = "PERIDOTLOCK_TEST_PANIC"

// The server of requests recovered the panic, and the process went on with a replica that
// might be half changed.
func TestPanicOfReplica(t *testing.T) {
	if os.Getenv(panicVariable) != "" {
		submitAndPanic()
		return
	}
	Convey("A panic while a handler changes the replica ends the process, and its last line names the submission", t, func() {
		process := exec.Command(os.Args[0], "-test.run=^TestPanicOfReplica$")
		process.Env = append(os.Environ(), panicVariable+"=1")
		out, err := process.CombinedOutput()
		So(err, ShouldNotBeNil)
		So(process.ProcessState.ExitCode(), ShouldEqual, crash.ExitCode)
		lines := strings.Split(strings.TrimSpace(string(out)), "\n")
		last := lines[len(lines)-1]
		So(last, ShouldContainSubstring, `msg="process ended by a panic" err=injected stack="intake.submitAndPanic.`)
		So(last, ShouldContainSubstring, "intake.(*Intake).applyOwn intake.go:")
		So(last, ShouldEndWith, " subject=submission key=00000000000000a1")
	})
}

func submitAndPanic() {
	defer crash.SetOutput(telemetry.NewLogger(os.Stderr, &telemetry.Verbosity{}), os.Stderr)()
	replica := cell.NewReplica()
	replica.Watch(func(cell.Entry) { panic("injected") })
	config := policy.New(1, []policy.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", Timeout: time.Second}}, nil)
	in := New(Options{
		Log: &fakeLog{}, Submissions: replica, MaxConfigAge: time.Second, Logger: logr.Discard(), Metrics: metrics.NewSet(),
		Config:         func() (*policy.Config, time.Duration) { return config, 0 },
		SubmissionsAge: func() (time.Duration, bool) { return 0, true },
	})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		in.Submit(r.Context(), Request{Host: "h", Path: "/q/00000000000000a1"}, submission.Submission{Steps: []submission.Step{{Count: 1}}})
	}))
	defer server.Close()
	if reply, err := http.Get(server.URL); err == nil {
		reply.Body.Close()
	}
}
