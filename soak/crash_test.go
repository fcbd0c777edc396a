package soak

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/internal/crash"
	"github.com/peridotlock/peridotlock/platform/standin"
	work "github.com/peridotlock/peridotlock/submission"
)

// Submissions at which the program of buildPanicking panics.
const (
	panicsInReplica work.ID = "00000000000000b1" // read by the follower of the submissions
	panicsInOwner   work.ID = "00000000000000b2"
	sound           work.ID = "00000000000000b3"
)

const crashTimeout = 20 * time.Second // of each expected effect

// panicAt is a statement to insert before a line of a source file.
type panicAt struct{ file, before, statement string }

// buildPanicking builds the program with panics in it and returns its path. The sources stay
// as they are: the compiler reads changed copies of them.
func buildPanicking(t *testing.T, panics ...panicAt) string {
	dir := t.TempDir()
	replace := map[string]string{}
	for _, p := range panics {
		original, err := filepath.Abs(filepath.Join("..", p.file))
		So(err, ShouldBeNil)
		source, err := os.ReadFile(original)
		So(err, ShouldBeNil)
		So(strings.Count(string(source), p.before), ShouldEqual, 1)
		changed := filepath.Join(dir, filepath.Base(p.file))
		text := strings.Replace(string(source), p.before, p.statement+"\n"+p.before, 1)
		So(os.WriteFile(changed, []byte(text), 0o600), ShouldBeNil)
		replace[original] = changed
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	So(err, ShouldBeNil)
	file, binary := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "peridotlock")
	So(os.WriteFile(file, overlay, 0o600), ShouldBeNil)
	out, err := exec.Command("go", "build", "-overlay", file, "-o", binary, "../cmd/peridotlock").CombinedOutput()
	So(string(out), ShouldBeEmpty)
	So(err, ShouldBeNil)
	return binary
}

// crashSite is one VM with one executor.
type crashSite struct {
	store   *standin.Store
	address string // of the store
	vm      *vm
}

func newCrashSite(t *testing.T, binary string) *crashSite {
	s := &crashSite{store: standin.NewStore(2)}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.address = server.URL
	s.store.Put("op", "config", configDocument(1, 0))
	e := standin.NewExecutor("i-0", runTime)
	es := httptest.NewServer(e)
	t.Cleanup(es.Close)
	s.store.Put("servers", "i-0", e.RegistryEntry("s", strings.TrimPrefix(es.URL, "http://"), "d"))
	s.vm = newVM(t, binary, t.TempDir(), "vm-0", strings.TrimPrefix(server.URL, "http://"), 0)
	t.Cleanup(s.vm.close)
	So(s.eventually(func() bool { return len(s.lines("msg=owner ")) == 1 }), ShouldBeTrue)
	return s
}

// submit stores the record of a submission and returns its offset.
func (s *crashSite) submit(id work.ID) string {
	record, err := cell.SubmissionRecord(id, work.Submission{Queue: "q", Service: "s", Spec: "x",
		Steps: []work.Step{{Count: 1, Size: fleet.Resources{MilliCPU: 500, MemoryMB: 100}}}})
	So(err, ShouldBeNil)
	s.store.Put(cell.SubmissionsTopic, record.Key, string(record.Value))
	reply, err := http.Get(s.address + "/api/log-newest?topic=keyed." + cell.SubmissionsTopic + "&part=0&dependsOn=" + string(id)[:len(id)-1])
	So(err, ShouldBeNil)
	defer reply.Body.Close()
	var newest struct {
		Items []struct {
			Key    string
			Offset json.Number
		}
	}
	So(json.NewDecoder(reply.Body).Decode(&newest), ShouldBeNil)
	for _, item := range newest.Items {
		if item.Key == string(id) {
			return item.Offset.String()
		}
	}
	So("no record of "+id, ShouldBeEmpty)
	return ""
}

func (s *crashSite) eventually(cond func() bool) bool {
	for end := time.Now().Add(crashTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return cond()
}

// output returns what the process wrote to standard output and standard error.
func (s *crashSite) output() string {
	text, err := os.ReadFile(s.vm.log)
	So(err, ShouldBeNil)
	return string(text)
}

// lines returns the lines that contain a text.
func (s *crashSite) lines(text string) []string {
	var out []string
	for line := range strings.Lines(s.output()) {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// get returns the body of a request, or "".
func get(url, host string) string {
	request, err := http.NewRequest("GET", url, nil)
	So(err, ShouldBeNil)
	request.Host = host
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return ""
	}
	return string(body)
}

func (s *crashSite) hasState(id work.ID, state string) func() bool {
	return func() bool {
		return get("http://"+s.vm.callers+"/q/"+string(id), "h.example") == `{"state":"`+state+`"}`
	}
}

// A panic was lines without keys on standard error, and the lines of the log before it
// could be lost.
func TestPanicsOfProgram(t *testing.T) {
	Convey("Given the program with panics at the records of two submissions", t, func() {
		binary := buildPanicking(t,
			panicAt{"cell/replica.go", "	var s submission.Submission\n", `	if id == "` + string(panicsInReplica) + `" { panic("injected in the replica") }`},
			panicAt{"node/owner.go", "	o.core.Submit(e.ID, e.Submission, now)\n", `	if e.ID == "` + string(panicsInOwner) + `" { panic("injected in the owner") }`})
		s := newCrashSite(t, binary)

		Convey("a panic outside of an owner ends it with a structured last line, after the trace", func() {
			offset := s.submit(panicsInReplica)
			So(s.vm.waitExit(crashTimeout), ShouldBeTrue)
			So(s.vm.process.ProcessState.ExitCode(), ShouldEqual, crash.ExitCode)
			lines := strings.Split(strings.TrimSpace(s.output()), "\n")
			last := lines[len(lines)-1]
			So(last, ShouldStartWith, "time=")
			So(last, ShouldContainSubstring, `level=ERROR msg="process ended by a panic" err="injected in the replica" stack="cell.(*Replica).submit replica.go:`)
			So(last, ShouldEndWith, " subject=submission key="+string(panicsInReplica)+" offset="+offset)
			So(len(last), ShouldBeLessThan, 2000)
			trace := s.output()
			So(trace, ShouldContainSubstring, "panic: injected in the replica\n\ngoroutine ")
			So(trace, ShouldContainSubstring, "tail.(*Follower).Run(")

			Convey("it ends again after a restart, and runs once the record is removed", func() {
				s.vm.start()
				So(s.vm.waitExit(crashTimeout), ShouldBeTrue)
				So(len(s.lines(`msg="process ended by a panic"`)), ShouldEqual, 2)
				s.store.Put(cell.SubmissionsTopic, string(panicsInReplica), "")
				s.vm.start()
				s.submit(sound)
				So(s.eventually(s.hasState(sound, "completed")), ShouldBeTrue)
				So(len(s.lines(`msg="process ended by a panic"`)), ShouldEqual, 2)
			})
		})
		Convey("a panic while it applies a record that it has stored for a caller ends it as well", func() {
			request, err := http.NewRequest("POST", "http://"+s.vm.callers+"/q/"+string(panicsInReplica),
				strings.NewReader(`{"spec":"x","steps":[{"count":1,"cpu":500,"memMb":100}]}`))
			So(err, ShouldBeNil)
			request.Host = "h.example"
			if reply, err := http.DefaultClient.Do(request); err == nil {
				reply.Body.Close()
			}
			So(s.vm.waitExit(crashTimeout), ShouldBeTrue)
			So(s.vm.process.ProcessState.ExitCode(), ShouldEqual, crash.ExitCode)
			lines := strings.Split(strings.TrimSpace(s.output()), "\n")
			last := lines[len(lines)-1]
			So(last, ShouldContainSubstring, `msg="process ended by a panic" err="injected in the replica" stack="cell.(*Replica).submit replica.go:`)
			So(last, ShouldContainSubstring, " subject=submission key="+string(panicsInReplica))
		})
		Convey("a panic of an owner leaves it running, and it takes the cell up again once the record is mended", func() {
			started := get("http://"+s.vm.operators+"/metrics", "")
			So(started, ShouldContainSubstring, "peridotlock_process_start_time_seconds ")
			offset := s.submit(panicsInOwner)
			So(s.eventually(func() bool { return len(s.lines(`msg="owner ended by a panic"`)) >= 2 }), ShouldBeTrue)
			first := s.lines(`msg="owner ended by a panic"`)[0]
			So(first, ShouldContainSubstring, `err="injected in the owner" cell=0 `)
			So(first, ShouldEndWith, " subject=submission key="+string(panicsInOwner)+" offset="+offset+"\n")
			So(s.hasState(panicsInOwner, "queued")(), ShouldBeTrue)

			mended := cell.StateRecord(panicsInOwner, work.Failed)
			s.store.Put(cell.SubmissionsTopic, mended.Key, string(mended.Value))
			s.submit(sound)
			So(s.eventually(s.hasState(sound, "completed")), ShouldBeTrue)
			So(get("http://"+s.vm.operators+"/metrics", ""), ShouldContainSubstring, `peridotlock_owner_panics_total{cell="0"} `)
			s.vm.signal(syscall.SIGTERM)
			So(s.vm.waitExit(crashTimeout), ShouldBeTrue)
			So(s.vm.process.ProcessState.ExitCode(), ShouldEqual, 0)
		})
	})
}
