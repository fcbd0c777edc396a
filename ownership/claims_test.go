package ownership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/stream"
)

// lossyLog is a log in memory that loses answers, repeats appends and delays
// them.
type lossyLog struct {
	mu      sync.Mutex
	random  *rand.Rand
	records []platform.Record
}

func (l *lossyLog) Append(_ context.Context, _ string, rs []platform.NewRecord) (platform.Offset, error) {
	l.mu.Lock()
	fate, wait := l.random.IntN(10), time.Duration(l.random.IntN(20))*time.Millisecond
	l.mu.Unlock()
	time.Sleep(wait)
	switch fate {
	case 0:
		l.write(rs)
		return 0, platform.ErrInDoubt
	case 1:
		time.AfterFunc(time.Second, func() { l.write(rs) })
		return 0, platform.ErrInDoubt
	case 2:
		return 0, platform.ErrInDoubt
	case 3:
		first := l.write(rs)
		l.write(rs)
		return first, nil
	}
	return l.write(rs), nil
}

func (l *lossyLog) write(rs []platform.NewRecord) platform.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := platform.Offset(len(l.records))
	for i, r := range rs {
		l.records = append(l.records, platform.Record{Offset: first + platform.Offset(i), ID: r.ID, Time: time.Now(), Data: r.Data})
	}
	return first
}

func (l *lossyLog) Read(ctx context.Context, _ string, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	const step = 5 * time.Millisecond
	for waited := time.Duration(0); ; waited += step {
		l.mu.Lock()
		end := platform.Offset(len(l.records))
		next := min(end, from+platform.Offset(limit))
		b := platform.Batch{Next: max(from, next), End: end}
		if next > from {
			b.Records = l.records[from:next]
		}
		l.mu.Unlock()
		if next > from || waited >= wait || ctx.Err() != nil {
			return b, ctx.Err()
		}
		time.Sleep(step)
	}
}

// recording is a machine that remembers which records won.
type recording struct {
	*Machine
	won map[platform.Offset]bool
}

func (m recording) Apply(r platform.Record) {
	m.Machine.Apply(r)
	rec, err := DecodeRecord(r.Data)
	m.won[r.Offset] = err == nil && m.Holding(rec.Unit).Claim.Term == r.Offset
}

// outcome is what the caller of a claim learned.
type outcome struct {
	absent bool // refused, never written
	won    bool
	term   platform.Offset // of the claim
}

// claimModel is a register with compare-and-set: the naive view of a unit. The
// input is the term that the claim supersedes.
var claimModel = porcupine.Model{
	Init: func() any { return None },
	Step: func(state, input, output any) (bool, any) {
		o := output.(outcome)
		if o.absent {
			return true, state
		}
		if matches := state == input; matches != o.won {
			return false, state
		}
		if o.won {
			return true, o.term
		}
		return true, state
	},
}

// TestRacingClaims has four nodes claim one unit again and again over a log
// that loses answers. Each claim is a compare-and-set on the term that its node
// saw last; the history must be linearizable. The callers wait for each
// outcome, so that all are known.
func TestRacingClaims(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			var history []porcupine.Operation
			synctest.Test(t, func(*testing.T) { history = raceClaims(seed) })
			won := 0
			for _, op := range history {
				if op.Output.(outcome).won {
					won++
				}
			}
			if won < 10 {
				t.Fatalf("only %d claims were won", won)
			}
			if !porcupine.CheckOperations(claimModel, history) {
				t.Fatal("the claims are not linearizable")
			}
		})
	}
}

func raceClaims(seed uint64) []porcupine.Operation {
	const nodes, rounds = 4, 12
	ctx, cancel := context.WithCancel(context.Background())
	log := &lossyLog{random: rand.New(rand.NewPCG(seed, 0))}
	var running, racing sync.WaitGroup
	var mu sync.Mutex
	var history []porcupine.Operation
	for i := range nodes {
		m := recording{NewMachine(), make(map[platform.Offset]bool)}
		r := stream.NewReplica(log, stream.OwnershipStream, m, stream.ReplicaOptions{})
		w := stream.NewWriter(log, stream.WriterOptions{AppendsPerSecond: 1000})
		running.Go(func() { r.Run(ctx) })
		running.Go(func() { w.Run(ctx) })
		racing.Go(func() {
			for range rounds {
				op := claimOnce(ctx, i, m, r, w)
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	racing.Wait()
	cancel()
	running.Wait()
	time.Sleep(2 * time.Second) // late records
	return history
}

func claimOnce(ctx context.Context, node int, m recording, r *stream.Replica, w stream.Writer) porcupine.Operation {
	u := Unit{Rack, "org/region/domain/rack"}
	var seen platform.Offset
	r.Read(func() { seen = m.Holding(u).Claim.Term })
	name := fmt.Sprintf("n%d", node)
	data, _ := Record{Op: OpClaim, Unit: u, Node: name, Supersedes: seen}.Encode()
	start := time.Now().UnixNano()
	offset, err := w.Append(ctx, stream.OwnershipStream, stream.Entry{ID: stream.NewID(name), Data: data})
	out := outcome{absent: err != nil, term: offset}
	switch {
	case err == nil && r.WaitFor(ctx, offset) == nil:
		r.Read(func() { out.won = m.won[offset] })
	case !errors.Is(err, platform.ErrUnavailable):
		panic(fmt.Sprintf("outcome unknown: %v", err))
	}
	return porcupine.Operation{ClientId: node, Input: seen, Call: start, Output: out, Return: time.Now().UnixNano()}
}
