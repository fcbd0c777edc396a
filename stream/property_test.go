package stream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/peridotlock/peridotlock/platform"
)

const name = "jobs-a"

// listMachine holds the entries in the order in which they were applied.
type listMachine struct {
	applied []string
	broken  string // first violation that was seen
}

func (m *listMachine) Apply(r platform.Record) {
	m.applied = append(m.applied, fmt.Sprintf("%d:%s", r.Offset, r.ID))
}

func (m *listMachine) Snapshot() ([]byte, error) { return cbor.Marshal(m.applied) }

func (m *listMachine) Restore(data []byte) error {
	var state []string
	if err := cbor.Unmarshal(data, &state); err != nil {
		return err
	}
	if len(state) < len(m.applied) || !slices.Equal(state[:len(m.applied)], m.applied) {
		m.broken = fmt.Sprintf("moved from %v to %v", m.applied, state)
	}
	m.applied = state
	return nil
}

// interpret is the naive interpreter: it reads all records ever written and
// remembers every id for good.
func interpret(records []platform.Record) []string {
	var out []string
	void, applied := map[string]bool{}, map[string]bool{}
	for _, r := range records {
		if strings.HasPrefix(r.ID, snapshotPrefix) {
			continue
		}
		if strings.HasPrefix(r.ID, voidPrefix) {
			var m marker
			if cbor.Unmarshal(r.Data, &m) == nil {
				for _, id := range m.Records {
					void[id] = true
				}
			}
			continue
		}
		entry, _, _ := strings.Cut(r.ID, "~")
		if !void[r.ID] && !applied[entry] {
			applied[entry] = true
			out = append(out, fmt.Sprintf("%d:%s", r.Offset, entry))
		}
	}
	return out
}

// script is one run: what each writer appends and what goes wrong.
type script struct {
	faults    []fault
	outages   []outage
	entries   []scriptEntry
	snapshots []snapshotAction
	newcomers []time.Duration
	keep      time.Duration
}

type scriptEntry struct {
	writer  int
	at      time.Duration
	timeout time.Duration
}

type snapshotAction struct{ at, delay time.Duration }

const runTime = 20 * time.Minute

func drawScript(t *rapid.T) script {
	seconds := func(low, high int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(low, high), func(s int) time.Duration { return time.Duration(s) * time.Second })
	}
	limit := int(runTime / time.Second)
	s := script{
		keep: seconds(400, 800).Draw(t, "keep"),
	}
	for range rapid.IntRange(0, 40).Draw(t, "bursts") {
		f := max(none, fault(rapid.IntRange(-int(faults), int(faults)-1).Draw(t, "fault")))
		s.faults = append(s.faults, slices.Repeat([]fault{f}, rapid.IntRange(1, 6).Draw(t, "length"))...)
	}
	for range rapid.IntRange(0, 2).Draw(t, "outages") {
		from := seconds(0, limit).Draw(t, "from")
		s.outages = append(s.outages, outage{from, from + seconds(1, 60).Draw(t, "length")})
	}
	s.entries = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scriptEntry {
		return scriptEntry{
			writer:  rapid.IntRange(0, 2).Draw(t, "writer"),
			at:      seconds(0, limit).Draw(t, "at"),
			timeout: seconds(1, 60).Draw(t, "timeout"),
		}
	}), 1, 40).Draw(t, "entries")
	s.newcomers = rapid.SliceOfN(seconds(0, limit), 0, 4).Draw(t, "newcomers")
	s.snapshots = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) snapshotAction {
		return snapshotAction{seconds(0, limit).Draw(t, "at"), seconds(0, 300).Draw(t, "delay")}
	}), 0, 3).Draw(t, "late snapshots")
	return s
}

type outcome struct {
	offset platform.Offset
	err    error
}

// TestAgreement runs writers and replicas over a log with outages, lost
// answers, duplicates, late records and trimming, and compares all replicas and
// outcomes with the naive interpreter.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = runScript(s) })
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

type bench struct {
	log      *faultLog
	ctx      context.Context
	running  sync.WaitGroup
	replicas []*Replica
	machines []*listMachine

	mu       sync.Mutex // protects outcomes
	outcomes map[string]outcome
}

func runScript(s script) []string {
	ctx, cancel := context.WithCancel(context.Background())
	b := &bench{log: newFaultLog(), ctx: ctx, outcomes: make(map[string]outcome)}
	b.log.keep, b.log.outages, b.log.plan = s.keep, s.outages, s.faults
	var writers []*LogWriter
	for range 3 {
		w := NewWriter(b.log, WriterOptions{})
		writers = append(writers, w)
		b.running.Go(func() { w.Run(ctx) })
	}
	first := b.follow(nil)
	second := b.follow(func() Source { return b.peer(first) })
	b.publish(first, writers[0])

	var actions sync.WaitGroup
	for i, e := range s.entries {
		actions.Go(func() { b.append(writers[e.writer], fmt.Sprintf("e%d", i), e) })
	}
	for _, a := range s.snapshots {
		actions.Go(func() { b.lateSnapshot(first, second, a) })
	}
	slices.Sort(s.newcomers)
	for _, at := range s.newcomers {
		sleepUntil(b.log.start, at)
		b.follow(nil)
	}
	actions.Wait()
	sleepUntil(b.log.start, runTime+2*time.Minute)
	b.append(writers[1], "last", scriptEntry{timeout: time.Minute})
	time.Sleep(30 * time.Second)
	problems := b.check()
	cancel()
	b.running.Wait()
	return problems
}

func sleepUntil(start time.Time, at time.Duration) { time.Sleep(time.Until(start.Add(at))) }

func (b *bench) follow(peer func() Source) *Replica {
	m := &listMachine{}
	r := NewReplica(b.log, name, m, ReplicaOptions{Peer: peer, Tail: 8, Batch: 16, Wait: 3 * time.Second})
	b.replicas = append(b.replicas, r)
	b.machines = append(b.machines, m)
	b.running.Go(func() { r.Run(b.ctx) })
	return r
}

func (b *bench) peer(r *Replica) Source {
	return SourceFunc(func(ctx context.Context, _ string, from platform.Offset, limit int, wait time.Duration) (Feed, error) {
		return r.Serve(ctx, from, limit, wait)
	})
}

// publish writes a snapshot every minute.
func (b *bench) publish(r *Replica, w Writer) {
	b.running.Go(func() {
		for b.ctx.Err() == nil {
			sleep(b.ctx, time.Minute)
			if ok, _ := r.Ready(); ok {
				ctx, cancel := context.WithTimeout(b.ctx, 20*time.Second)
				r.WriteSnapshot(ctx, w)
				cancel()
			}
		}
	})
}

func (b *bench) append(w Writer, id string, e scriptEntry) {
	sleepUntil(b.log.start, e.at)
	ctx, cancel := context.WithTimeout(b.ctx, e.timeout)
	defer cancel()
	offset, err := w.Append(ctx, name, Entry{ID: id, Data: []byte(id)})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes[id] = outcome{offset, err}
}

// lateSnapshot writes a snapshot, and hands it to a peer, long after it was
// taken.
func (b *bench) lateSnapshot(from, to *Replica, a snapshotAction) {
	sleepUntil(b.log.start, a.at)
	data, err := from.ExportSnapshot()
	if err != nil {
		panic(err)
	}
	time.Sleep(a.delay)
	if err := to.ImportSnapshot(data); err != nil {
		panic(err)
	}
	for _, p := range splitSnapshot(uniqueSuffix(), data) {
		encoded, _ := cbor.Marshal(p)
		b.log.write(name, []platform.NewRecord{{ID: partID(p), Data: encoded}})
	}
}

func (b *bench) check() []string {
	var problems []string
	want := interpret(b.log.all(name))
	reference, _ := b.replicas[0].ExportSnapshot()
	for i, m := range b.machines {
		if data, err := b.replicas[i].ExportSnapshot(); err != nil || !bytes.Equal(data, reference) {
			problems = append(problems, fmt.Sprintf("replica %d exports another snapshot than replica 0", i))
		}
		b.replicas[i].Read(func() {
			if !slices.Equal(m.applied, want) {
				problems = append(problems, fmt.Sprintf("replica %d has %v, want %v", i, m.applied, want))
			}
			if m.broken != "" {
				problems = append(problems, fmt.Sprintf("replica %d %s", i, m.broken))
			}
		})
		if ok, why := b.replicas[i].Ready(); !ok {
			problems = append(problems, fmt.Sprintf("replica %d not ready: %s", i, why))
		}
	}
	for id, o := range b.outcomes {
		if p := checkOutcome(id, o, want); p != "" {
			problems = append(problems, p)
		}
	}
	if err := b.outcomes["last"].err; err != nil {
		problems = append(problems, fmt.Sprintf("last append failed: %v", err))
	}
	return problems
}

func checkOutcome(id string, o outcome, want []string) string {
	suffix := ":" + id
	present := slices.IndexFunc(want, func(s string) bool { return strings.HasSuffix(s, suffix) })
	switch {
	case o.err == nil && (present < 0 || want[present] != fmt.Sprintf("%d%s", o.offset, suffix)):
		return fmt.Sprintf("%s reported at %d, not there", id, o.offset)
	case errors.Is(o.err, platform.ErrInDoubt):
		return ""
	case errors.Is(o.err, platform.ErrUnavailable) && present >= 0:
		return fmt.Sprintf("%s reported absent, is %s", id, want[present])
	case o.err != nil && !errors.Is(o.err, platform.ErrUnavailable):
		return fmt.Sprintf("%s: unexpected error %v", id, o.err)
	}
	return ""
}
