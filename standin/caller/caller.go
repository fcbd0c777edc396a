// Package caller stands in for the callers: it sends a mix of requests through
// the entries and checks that each answer is whole, its own and true.
package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

const (
	maxInFlight   = 1000
	answerGrace   = 2 * time.Second // past its deadline an unanswered request is lost
	watchDuration = time.Second
	deadlineKey   = "Peridotlock-Deadline-Ms"
)

// RequestKind is one kind of request in the mix.
type RequestKind struct {
	Class  fleet.RequestClass
	Method string
	Host   string // Host header; empty for the entry's address
	Path   string
	Weight int           // share among the shapes
	Bytes  int           // size of the answer
	Delay  time.Duration // on top of the executor's service time
}

// Options describe a run of callers.
type Options struct {
	Name         string // begins the ids of the requests
	Entries      []Entry
	RequestKinds []RequestKind
	Rate         float64 // requests a second
	Deadline     time.Duration
}

// Callers sends requests at a steady rate.
type Callers struct {
	opts     Options
	balancer *balancer
	http     http.Client
	log      log
}

// New returns callers that have sent nothing yet.
func New(o Options) *Callers {
	c := &Callers{opts: o, balancer: newBalancer(o.Entries)}
	c.http.Transport = &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	return c
}

// Run sends requests until ctx ends, and waits for the answers to all of them.
func (c *Callers) Run(ctx context.Context) {
	var group sync.WaitGroup
	stop, cancel := context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() { c.balancer.run(stop) })
	c.send(ctx)
	cancel()
	group.Wait()
	c.http.CloseIdleConnections()
}

// send starts a request at each tick, so that slow answers do not slow the
// callers down.
func (c *Callers) send(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	free := make(chan struct{}, maxInFlight)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.opts.Rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		free <- struct{}{}
		id := fmt.Sprintf("%s-%d", c.opts.Name, n)
		shape := c.pick()
		group.Go(func() {
			c.exchange(context.WithoutCancel(ctx), id, shape)
			<-free
		})
	}
}

func (c *Callers) pick() RequestKind {
	total := 0
	for _, s := range c.opts.RequestKinds {
		total += s.Weight
	}
	at := rand.IntN(total)
	for _, s := range c.opts.RequestKinds {
		if at < s.Weight {
			return s
		}
		at -= s.Weight
	}
	return c.opts.RequestKinds[0]
}

func (c *Callers) exchange(ctx context.Context, id string, s RequestKind) {
	ctx, cancel := context.WithTimeout(ctx, c.limit(s))
	defer cancel()
	begin := time.Now()
	outcome, detail := c.try(ctx, id, s)
	c.log.add(result{id: id, class: s.Class, outcome: outcome, detail: detail, begin: begin, took: time.Since(begin)})
}

func (c *Callers) limit(s RequestKind) time.Duration {
	if s.Class == fleet.Watch {
		return watchDuration
	}
	return c.opts.Deadline + answerGrace
}

// SummaryBetween returns what the requests begun in a span of time came to, against
// the executions of each request as the ledger counts them.
func (c *Callers) SummaryBetween(from, to time.Time, executions map[string]int) Summary {
	return c.log.summary(from, to, executions)
}

// Summary returns what all requests came to.
func (c *Callers) Summary(executions map[string]int) Summary {
	return c.log.summary(time.Time{}, time.Now(), executions)
}
