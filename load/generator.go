package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

const (
	requestBody = 256 // bytes
	minPause    = 200 * time.Microsecond
)

// Mix says what requests are like.
type Mix struct {
	NonIdempotentShare float64 // part of all requests
	LargeShare         float64 // part of the answers that are LargeBytes long
	SmallBytes         int
	LargeBytes         int
	Callers            int
}

// DefaultMix is a mix of lookups and records with small answers.
var DefaultMix = Mix{NonIdempotentShare: 0.1, LargeShare: 0.001, SmallBytes: 2 << 10, LargeBytes: 600 << 10, Callers: 20}

// Generator sends requests at a fixed rate whether or not they are answered.
type Generator struct {
	Targets  []string // base URLs, used in turn
	Rate     float64  // requests a second
	Duration time.Duration
	Deadline time.Duration
	Mix      Mix
	Name     string  // start of all request ids
	Seed     uint64  // of the schedule
	Ledger   *Ledger // nil when the endpoints are not built in
}

// Run sends all requests, waits for their end and checks them.
func (g *Generator) Run(ctx context.Context) *Result {
	client := NewClient(g.Deadline)
	defer client.Close()
	random := rand.New(rand.NewPCG(g.Seed, 1))
	result := newResult(g.Duration, g.Deadline)
	var pending sync.WaitGroup
	start := time.Now()
	due := start
	for i := 0; due.Sub(start) < g.Duration && ctx.Err() == nil; i++ {
		due = due.Add(time.Duration(random.ExpFloat64() / g.Rate * float64(time.Second)))
		if wait := time.Until(due); wait > minPause {
			time.Sleep(wait)
		}
		request, target, at := g.request(random, i), g.Targets[i%len(g.Targets)], due
		pending.Go(func() { g.send(ctx, client, target, request, at, result) })
	}
	pending.Wait()
	result.check(g.Ledger)
	return result
}

func (g *Generator) request(random *rand.Rand, i int) Request {
	r := Request{
		ID:     fmt.Sprintf("%s-%d", g.Name, i),
		Class:  fleet.Idempotent,
		Caller: fmt.Sprintf("caller-%d", random.IntN(g.Mix.Callers)),
		Size:   g.Mix.SmallBytes,
	}
	if random.Float64() < g.Mix.NonIdempotentShare {
		r.Class = fleet.NonIdempotent
		r.Body = make([]byte, requestBody)
	}
	if random.Float64() < g.Mix.LargeShare {
		r.Size = g.Mix.LargeBytes
	}
	return r
}

// send measures from the time at which the request was due.
func (g *Generator) send(ctx context.Context, client *Client, target string, r Request, due time.Time, result *Result) {
	sent := time.Now()
	reply, took := client.Send(ctx, target, r)
	end := time.Now()
	result.add(sample{request: r, reply: reply, latency: end.Sub(due), overhead: end.Sub(sent) - took, direct: took > 0})
}
