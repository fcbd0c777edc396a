package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/platform/client"
	"github.com/peridotlock/peridotlock/standin/executor"
	"github.com/peridotlock/peridotlock/standin/fault"
	"github.com/peridotlock/peridotlock/standin/ledger"
)

const testConfig = `
vms: {address: 127.0.0.1:0, lag: 0s}
workers:
  - {failure-domain: z/a, count: 2, per-rack: 2, size: {milli-cpu: 4000, memory-mb: 4000}}
executors:
  - {service: z/registry, failure-domain: z/a, count: 1, slots: 2, connections: 4, service-time: 1ms}
`

func runDeployment(t *testing.T) *Deployment {
	c, err := Parse("test", []byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	d, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return d
}

func record(id string) []platform.NewRecord {
	return []platform.NewRecord{{ID: id, Data: []byte(id)}}
}

func TestLogClient(t *testing.T) {
	d := runDeployment(t)
	ctx := t.Context()
	Convey("A client of the log", t, func() {
		log := client.NewLog([]string{"127.0.0.1:1", d.Addresses().Log})
		defer log.Close()
		Reset(func() { d.Faults.Set(TargetLog, fault.Fault{}) })

		Convey("goes on to the second address and reads what it wrote", func() {
			first, err := log.Append(ctx, "s", record("one"))
			So(err, ShouldBeNil)
			b, err := log.Read(ctx, "s", first, 10, 0)
			So(err, ShouldBeNil)
			So(b.Records[0].ID, ShouldEqual, "one")
			go d.Store.Append("s", record("two"), time.Now())
			b, err = log.Read(ctx, "s", b.Next, 10, 5*time.Second)
			So(err, ShouldBeNil)
			So(b.Records[0].ID, ShouldEqual, "two")
		})
		Convey("says that nothing was written in an outage or when refused", func() {
			for _, f := range []fault.Fault{{Outage: true}, {Refuse: true}} {
				before, _, _ := d.Store.Read("s", 0, 10, time.Now())
				d.Faults.Set(TargetLog, f)
				fresh := client.NewLog([]string{d.Addresses().Log})
				So(eventually(func() bool {
					_, err := fresh.Append(ctx, "s", record("x"))
					return errors.Is(err, platform.ErrUnavailable)
				}), ShouldBeTrue)
				after, _, _ := d.Store.Read("s", 0, 10, time.Now())
				So(after.End, ShouldBeLessThanOrEqualTo, before.End)
			}
		})
		Convey("says in doubt when the answer is lost after the write", func() {
			d.Faults.Set(TargetLog, fault.Fault{LoseAnswers: 1})
			_, err := log.Append(ctx, "lost", record("x"))
			So(errors.Is(err, platform.ErrInDoubt), ShouldBeTrue)
			b, err := log.Read(ctx, "lost", 0, 10, 0)
			So(err, ShouldBeNil)
			So(len(b.Records), ShouldEqual, 1)
		})
		Convey("says in doubt when the log is silent, and connects anew", func() {
			_, err := log.Append(ctx, "quiet", record("warm"))
			So(err, ShouldBeNil)
			d.Faults.Set(TargetLog, fault.Fault{SilentOld: true})
			short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()
			_, err = log.Append(short, "quiet", record("x"))
			So(errors.Is(err, platform.ErrInDoubt), ShouldBeTrue)
			_, err = log.Append(ctx, "quiet", record("y"))
			So(err, ShouldBeNil)
		})
		Convey("says that an offset is too old", func() {
			d.Store.Append("old", record("a"), time.Now())
			d.Store.Append("old", record("b"), time.Now())
			d.Store.Trim("old", 1)
			b, err := log.Read(ctx, "old", 0, 10, 0)
			So(errors.Is(err, platform.ErrTrimmed), ShouldBeTrue)
			So(b.First, ShouldEqual, 1)
		})
	})
}

func TestVMListClient(t *testing.T) {
	d := runDeployment(t)
	Convey("A client of the list", t, func() {
		traffic := metrics.GetOrCreateCounter(`peridotlock_platform_received_bytes_total{service="vms"}`)
		list := client.NewVMList([]string{d.Addresses().VMs})
		defer list.Close()
		first, err := list.VMs(t.Context())
		So(err, ShouldBeNil)
		before := traffic.Get()
		second, err := list.VMs(t.Context())
		So(err, ShouldBeNil)
		Convey("gets an unchanged list in few bytes, with its new time", func() {
			So(second.VMs, ShouldResemble, first.VMs)
			So(second.AsOf, ShouldHappenOnOrAfter, first.AsOf.Truncate(time.Millisecond))
			So(traffic.Get()-before, ShouldBeLessThan, 120)
		})
		Convey("sees a change", func() {
			So(d.List.SetState(first.VMs[0].ID, platform.VMLeaving), ShouldBeTrue)
			third, err := list.VMs(t.Context())
			So(err, ShouldBeNil)
			So(third.VMs[0].State, ShouldEqual, platform.VMLeaving)
		})
	})
}

func TestWorkersAndExecutors(t *testing.T) {
	d := runDeployment(t)
	ctx := t.Context()
	Convey("The VMs of the list", t, func() {
		list, err := client.NewVMList([]string{d.Addresses().VMs}).VMs(ctx)
		So(err, ShouldBeNil)
		So(len(list.VMs), ShouldEqual, 3)
		Reset(func() { d.Faults.Set("a-worker-1", fault.Fault{}) })

		Convey("a worker runs a task to its end, once", func() {
			w := client.NewWorker(list.VMs[0].Address)
			defer w.Close()
			r, err := w.Report(ctx)
			So(err, ShouldBeNil)
			request := platform.StartRequest{
				Task: "job/0", Token: platform.Token{Term: 1, Attempt: 1}, Size: fleet.Resources{MilliCPU: 1000},
				Lease: time.Minute, NotAfter: r.Clock + int64(time.Minute), RunTime: 50 * time.Millisecond,
			}
			_, err = w.Start(ctx, request)
			So(err, ShouldBeNil)
			_, err = w.Start(ctx, request)
			var refused *platform.RefusedError
			So(errors.As(err, &refused), ShouldBeTrue)
			So(refused.Reason, ShouldEqual, platform.RefusedOldAttempt)
			So(eventually(func() bool { return d.Ledger.Summary().Outcomes["finished"] == 1 }), ShouldBeTrue)

			Convey("and the ledger sees it when a second worker runs it at once", func() {
				request.RunTime, request.Token.Attempt = time.Hour, 2
				_, err = w.Start(ctx, request)
				So(err, ShouldBeNil)
				other := client.NewWorker(list.VMs[1].Address)
				defer other.Close()
				r, err := other.Report(ctx)
				So(err, ShouldBeNil)
				request.NotAfter, request.Token.Attempt = r.Clock+int64(time.Minute), 3
				_, err = other.Start(ctx, request)
				So(err, ShouldBeNil)
				So(d.Ledger.Summary().Violations[0].Kind, ShouldEqual, ledger.DoubleRun)
			})
		})
		Convey("a frozen worker leaves a call's outcome unknown, a dead one refuses it", func() {
			w := client.NewWorker(list.VMs[0].Address)
			defer w.Close()
			d.Faults.Set("a-worker-1", fault.Fault{Frozen: true})
			short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			_, err := w.Renew(short, platform.RenewRequest{Term: 1})
			So(errors.Is(err, platform.ErrUnknownOutcome), ShouldBeTrue)
			d.Faults.Set("a-worker-1", fault.Fault{Dead: true})
			So(eventually(func() bool {
				_, err := w.Report(ctx)
				return errors.Is(err, platform.ErrUnavailable)
			}), ShouldBeTrue)
		})
		Convey("an executor answers the caller's own request, whole or visibly cut", func() {
			get := func() (string, error) {
				req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+list.VMs[2].Address+"/pipes?bytes=4000", strings.NewReader("frula"))
				req.Header.Set(executor.HeaderRequestID, "r1")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return "", err
				}
				defer resp.Body.Close()
				data, err := io.ReadAll(resp.Body)
				return string(data), err
			}
			body, err := get()
			So(err, ShouldBeNil)
			So(body, ShouldEqual, string(executor.Answer("r1", "POST", "/pipes", executor.Hash([]byte("frula")), 4000)))
			d.Faults.Set(list.VMs[2].ID, fault.Fault{CutAnswers: 1})
			_, err = get()
			So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
			executions := d.Ledger.Executions(ledger.ExecutionFilter{Request: "r1"})
			So(len(executions), ShouldEqual, 2)
			So(executions[1].Answered, ShouldBeFalse)
		})
	})
}

// eventually repeats a check until it holds, for at most 10 s.
func eventually(check func() bool) bool {
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if check() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}
