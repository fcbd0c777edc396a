package ctl

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/api"
	"github.com/peridotlock/peridotlock/api/command"
	"github.com/peridotlock/peridotlock/api/problem"
	"github.com/peridotlock/peridotlock/api/query"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// backend is a scheduler in memory: a settings machine and a map of jobs.
type backend struct {
	machine *settings.Machine
	next    platform.Offset
	fail    error // answer of the next publish, after it took effect
	jobs    map[string]job.Status
	missing bool // one process has not acknowledged
}

func (b *backend) Publish(_ context.Context, e command.Edit) (command.Receipt, error) {
	if _, ok := b.machine.Outcome(e.Key); !ok {
		data, err := e.Edit.Encode()
		if err != nil {
			return command.Receipt{}, err
		}
		b.machine.Apply(platform.Record{Offset: b.next, ID: e.Key, Data: data, Time: time.Unix(0, 0)})
		b.next++
	}
	if err := b.fail; err != nil {
		b.fail = nil
		return command.Receipt{}, err
	}
	c, _ := b.machine.Outcome(e.Key)
	return command.Receipt{Key: e.Key, Revision: c.Revision, Change: c}, nil
}

func (b *backend) Submit(_ context.Context, jobs []job.Spec) ([]command.Submission, error) {
	var out []command.Submission
	for _, s := range jobs {
		_, known := b.jobs[s.IdempotencyKey]
		b.jobs[s.IdempotencyKey] = job.Status{ID: s.IdempotencyKey, Spec: s, State: job.Finished}
		out = append(out, command.Submission{Key: s.IdempotencyKey, ID: s.IdempotencyKey, Outcome: problem.Accepted, Duplicate: known})
	}
	return out, nil
}

func (b *backend) Cancel(_ context.Context, id string) (command.Cancellation, error) {
	return command.Cancellation{ID: id, State: job.Cancelled}, nil
}

func (b *backend) View(context.Context) (*settings.View, error) { return b.machine.View(), nil }

func (b *backend) History(_ context.Context, n int) ([]settings.Change, error) {
	return b.machine.History(n), nil
}

func (b *backend) Document(_ context.Context, p fleet.Path, r platform.Offset) (query.Document, error) {
	if r == query.Present {
		r = b.next - 1
	}
	d, base, err := b.machine.Document(p, r)
	if err != nil {
		return query.Document{}, problem.Missing("%v", err)
	}
	return query.Document{Document: d, Base: base}, nil
}

func (b *backend) Effective(_ context.Context, p fleet.Path) ([]settings.Effective, error) {
	out, ok := b.machine.Effective(p)
	if !ok {
		return nil, problem.Missing("no branch %q", p)
	}
	return out, nil
}

func (b *backend) InForce(_ context.Context, r platform.Offset) (query.InForce, error) {
	acks := []query.Acknowledgement{{VM: "entry-1", Process: "entry", Revision: r - 1, Acknowledged: !b.missing}}
	return query.InForce{Revision: r, Complete: !b.missing, VMs: acks}, nil
}

func (b *backend) Show(_ context.Context, id string) (job.Status, error) {
	st, ok := b.jobs[id]
	if !ok {
		return st, problem.Missing("no job %q", id)
	}
	return st, nil
}

func (b *backend) List(context.Context, query.JobFilter) ([]job.Status, error) { return nil, nil }

func (b *backend) Explain(_ context.Context, id string) ([]query.Explanation, error) {
	return []query.Explanation{{Task: id + "/0", State: job.Pending, Reasons: []string{"no VM has 4 accelerators free"}}}, nil
}

func (b *backend) VMs(context.Context) ([]query.VM, error) { return nil, nil }

func (b *backend) Status(context.Context) (query.Status, error) {
	return query.Status{Node: "entry-1", Ready: true}, nil
}

// commandRunner runs command lines against a backend.
type commandRunner struct{ server string }

func (c commandRunner) run(args ...string) (code int, out string) {
	var buf bytes.Buffer
	code = Run(context.Background(), append([]string{"--server", c.server}, args...), &buf, &buf)
	return code, buf.String()
}

func TestOperatorsClient(t *testing.T) {
	Convey("Given a server and the merged example", t, func() {
		b := &backend{machine: settings.NewMachine(), jobs: map[string]job.Status{}}
		queries := query.Handlers{Settings: b, Jobs: b, VMs: b, Status: b}
		server := httptest.NewServer(api.New(api.Options{Token: "secret", Settings: b, Jobs: b, Queries: queries}))
		Reset(server.Close)
		t.Setenv("PERIDOTCTL_TOKEN", "secret")
		c := commandRunner{server: strings.TrimPrefix(server.URL, "http://")}
		code, out := c.run("settings", "publish", "../../examples/merged.yaml", "--author", "ana")
		So(out, ShouldStartWith, "accepted revision=0 key=")
		So(code, ShouldEqual, ExitOK)

		Convey("a failure domain leaves and returns", func() {
			code, _ := c.run("failure-domain", "take-out", "/zavod/kontinent/zagreb-a", "--wait", "7s")
			So(code, ShouldEqual, ExitOK)
			_, out := c.run("failure-domain", "list")
			So(out, ShouldContainSubstring, "zavod/kontinent/zagreb-a       zavod/kontinent     out\n")
			code, _ = c.run("failure-domain", "bring-back", "zavod/kontinent/zagreb-a")
			So(code, ShouldEqual, ExitOK)
			So(b.machine.View().IsOut("zavod/kontinent/zagreb-a"), ShouldBeFalse)
			code, out = c.run("failure-domain", "take-out", "zavod/kontinent")
			So(code, ShouldEqual, ExitRefused)
			So(out, ShouldContainSubstring, "zavod/kontinent: out: may not be set on a branch of kind region")
		})
		Convey("an edit shows in the effective values, and a revert takes it back", func() {
			code, _ := c.run("settings", "edit", "zavod/registry", "--set", "policy.requests.deadline=2500ms", "--note", "fair")
			So(code, ShouldEqual, ExitOK)
			_, out := c.run("settings", "show", "--effective", "zavod/registry")
			So(out, ShouldContainSubstring, "policy.requests.deadline = 2.5s (zavod/registry,")
			code, _ = c.run("settings", "revert", "zavod/registry", "0")
			So(code, ShouldEqual, ExitOK)
			So(b.machine.View().PolicyAt("zavod/registry").Requests.Deadline, ShouldEqual, 8*time.Second)
			_, out = c.run("settings", "history")
			So(strings.Count(out, "applied"), ShouldEqual, 3)
		})
		Convey("the later of two racing edits is told who changed what", func() {
			_, shown := c.run("settings", "show", "zavod/registry")
			file := filepath.Join(t.TempDir(), "registry.yaml")
			So(os.WriteFile(file, []byte(shown), 0o600), ShouldBeNil)
			_, _ = c.run("settings", "edit", "zavod/registry", "--set", "policy.requests.deadline=2s", "--author", "iva", "--note", "fair")
			code, out := c.run("settings", "publish", file, "--branch", "zavod/registry", "--author", "ana")
			So(code, ShouldEqual, ExitRefused)
			So(out, ShouldContainSubstring, "zavod/registry: policy.requests.deadline is now 2s since revision 1 by iva (fair)")
			So(out, ShouldContainSubstring, "deadline: 2s")
		})
		Convey("a new branch is published below its parent", func() {
			file := filepath.Join(t.TempDir(), "fair.yaml")
			So(os.WriteFile(file, []byte("kind: team\nquota: {milli-cpu: 1, memory-mb: 1}\n"), 0o600), ShouldBeNil)
			code, _ := c.run("settings", "publish", file, "--branch", "zavod/fair")
			So(code, ShouldEqual, ExitOK)
			code, out := c.run("settings", "publish", file, "--branch", "zavod/none/fair")
			So(code, ShouldEqual, ExitRefused)
			So(out, ShouldContainSubstring, `no branch "zavod/none"`)
		})
		Convey("an unknown outcome is said, and the same key has effect once", func() {
			b.fail = fmt.Errorf("append: %w", platform.ErrInDoubt)
			code, out := c.run("failure-domain", "take-out", "authority/ga-south/ga-south-a", "--key", "k1")
			So(code, ShouldEqual, ExitUnreachable)
			So(out, ShouldContainSubstring, "outcome unknown")
			So(out, ShouldContainSubstring, "--key k1")
			code, out = c.run("failure-domain", "take-out", "authority/ga-south/ga-south-a", "--key", "k1")
			So(code, ShouldEqual, ExitOK)
			So(out, ShouldStartWith, "accepted revision=1 ")
		})
		Convey("what is not in force everywhere is listed", func() {
			b.missing = true
			code, out := c.run("failure-domain", "take-out", "zavod/kontinent/zagreb-a", "--wait", "1ms")
			So(code, ShouldEqual, ExitNotInForce)
			So(out, ShouldContainSubstring, "not acknowledged vm=entry-1 process=entry revision=0")
		})
		Convey("jobs are submitted once for each key and followed to their end", func() {
			code, out := c.run("job", "submit", "../../examples/frula-registry-jobs.yaml", "../../examples/flooring-order-desk-jobs.yaml")
			So(code, ShouldEqual, ExitOK)
			So(strings.Count(out, "accepted job="), ShouldEqual, 4)
			_, out = c.run("job", "submit", "../../examples/frula-registry-jobs.yaml")
			So(strings.Count(out, "duplicate=true"), ShouldEqual, 2)
			code, _ = c.run("job", "watch", "certificates-sinj-1")
			So(code, ShouldEqual, ExitOK)
			code, out = c.run("job", "show", "a/b")
			So(code, ShouldEqual, ExitRefused)
			So(out, ShouldContainSubstring, `no job "a/b"`)
		})
		Convey("a wrong token is refused", func() {
			code, out := c.run("--token", "guess", "status")
			So(code, ShouldEqual, ExitRefused)
			So(out, ShouldContainSubstring, "--token")
		})
		Convey("the next server is tried when the first is gone", func() {
			code, _ := c.run("--server", "127.0.0.1:1", "--server", c.server, "status")
			So(code, ShouldEqual, ExitOK)
		})
	})
}

func TestBadInput(t *testing.T) {
	Convey("All that is wrong is reported at once and nothing is sent", t, func() {
		dir := t.TempDir()
		bad := filepath.Join(dir, "jobs.yaml")
		So(os.WriteFile(bad, []byte("jobs:\n  - {name: x, team: t, kind: k, clas: batch, count: 0, size: {milli-cpu: many}}\n"), 0o600), ShouldBeNil)
		var out bytes.Buffer
		code := Run(t.Context(), []string{"--server", "scheduler:1", "--output", "xml", "job", "submit", bad, filepath.Join(dir, "none.yaml")}, &out, &out)
		So(code, ShouldEqual, ExitBadInput)
		for _, line := range []string{
			`--server: "scheduler:1" is not an IP number and port`,
			`--output: "xml" is neither text nor json`,
			bad + `:2:33: jobs[0].clas: unknown key`,
			bad + `:2:53: jobs[0].count: 0 is not between 1 and 100000`,
			bad + `:2:74: jobs[0].size.milli-cpu: cannot unmarshal`,
			`none.yaml`,
		} {
			So(out.String(), ShouldContainSubstring, line)
		}
	})
	Convey("Unknown flags are all named", t, func() {
		var out bytes.Buffer
		code := Run(t.Context(), []string{"status", "--sever", "x", "--ouput=json"}, &out, &out)
		So(code, ShouldEqual, ExitBadInput)
		So(out.String(), ShouldEqual, "--sever: unknown flag\n--ouput: unknown flag\n")
	})
	Convey("Unknown flags and bad values are told together", t, func() {
		var out bytes.Buffer
		code := Run(t.Context(), []string{"--server", "nohost", "--bogus", "--output", "xml", "status"}, &out, &out)
		So(code, ShouldEqual, ExitBadInput)
		So(out.String(), ShouldEqual, "--bogus: unknown flag\n--server: \"nohost\" is not an IP number and port\n--output: \"xml\" is neither text nor json\n")
	})
	Convey("A server that is gone is told from a refusal", t, func() {
		var out bytes.Buffer
		code := Run(t.Context(), []string{"--server", "127.0.0.1:1", "--output", "json", "failure-domain", "take-out", "a"}, &out, &out)
		So(code, ShouldEqual, ExitUnreachable)
		So(out.String(), ShouldContainSubstring, `"outcome":"refused"`)
	})
}
