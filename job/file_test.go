package job

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/settings"
)

const mixedFile = `jobs:
  - {name: a, team: zavod/releases, kind: run, class: batch, count: 2, size: {milli-cpu: 500, memory-mb: 64}, run-time: 90s, idempotency-key: k}
  - {name: b c, team: "", kind: run, class: often, count: two, size: {milli-cpu: 2e9, memory: 1}, run-time: -1s, idempotency-key: k}
  - text
extra: {}
`

func TestParseFile(t *testing.T) {
	Convey("The example files hold valid jobs whose references exist", t, func() {
		tree, err := os.ReadFile("../examples/merged.yaml")
		So(err, ShouldBeNil)
		built, err := settings.Build("merged.yaml", tree)
		So(err, ShouldBeNil)
		for _, name := range []string{"frula-registry-jobs", "flooring-order-desk-jobs"} {
			file := "../examples/" + name + ".yaml"
			data, err := os.ReadFile(file)
			So(err, ShouldBeNil)
			jobs, err := ParseFile(file, data)
			So(err, ShouldBeNil)
			for _, s := range jobs {
				So(s.CheckReferences(built.View()), ShouldBeEmpty)
			}
		}
	})
	Convey("A valid job is parsed with its values", t, func() {
		jobs, err := ParseFile("j", []byte(strings.Join(strings.Split(mixedFile, "\n")[:2], "\n")))
		So(err, ShouldBeNil)
		So(jobs, ShouldResemble, []Spec{{
			Name: "a", Team: "zavod/releases", Kind: "run", Class: fleet.Batch, Count: 2,
			Size: fleet.Resources{MilliCPU: 500, MemoryMB: 64}, RunTime: 90 * time.Second, IdempotencyKey: "k",
		}})
	})
	Convey("All violations of all jobs are reported with their positions", t, func() {
		_, err := ParseFile("j", []byte(mixedFile))
		So(strings.Split(err.Error(), "\n"), ShouldResemble, []string{
			"j:3:5: jobs[1].size.memory-mb: 0 is not between 1 and 67108864",
			"j:3:12: jobs[1].name: \"b c\" is not a name of letters, digits, ., - and _",
			"j:3:23: jobs[1].team: is missing",
			"j:3:45: jobs[1].class: \"often\" is unknown, must be batch or latency-critical",
			"j:3:59: jobs[1].count: cannot unmarshal !!str `two` into int",
			"j:3:82: jobs[1].size.milli-cpu: 2000000000 is not between 1 and 1000000",
			"j:3:87: jobs[1].size.memory: unknown key",
			"j:3:109: jobs[1].run-time: -1s is not between 1ms and 720h0m0s",
			"j:3:131: jobs[1].idempotency-key: duplicate key \"k\"",
			"j:4:5: jobs[2]: a job must be a mapping",
			"j:5:1: extra: unknown key",
		})
	})
	Convey("A team or failure domain that is not in the settings is a violation", t, func() {
		s := Spec{Team: "zavod/none", FailureDomains: []fleet.Path{"zavod/nowhere"}}
		So(s.CheckReferences(&settings.View{}), ShouldHaveLength, 2)
	})
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(mixedFile))
	f.Add([]byte("jobs: [{size: {size: {}}, failure-domains: {a: b}}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		jobs, err := ParseFile("f", data)
		if err != nil {
			return
		}
		for _, s := range jobs {
			if violations := s.Check(); len(violations) > 0 {
				t.Fatalf("accepted a job with violations %v", violations)
			}
		}
	})
}
