// Package retry bounds the extra attempts, retries and hedges alike, that a
// caller may cause at a set of endpoints.
package retry

import (
	"sync"
	"sync/atomic"
)

const (
	unitsPerToken = 1000    // parts of a token
	maxTokens     = 10      // tokens
	maxBudgets    = 1 << 14 // callers and services remembered
)

// Budget is a token bucket that first attempts fill. It is safe for concurrent
// use without locks.
type Budget struct{ tokens atomic.Int64 }

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.tokens.Store(maxTokens * unitsPerToken)
	return b
}

// Deposit adds share tokens for one first attempt.
func (b *Budget) Deposit(share float64) {
	for {
		old := b.tokens.Load()
		next := min(old+int64(share*unitsPerToken), maxTokens*unitsPerToken)
		if next == old || b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// Withdraw takes a token and reports whether there was one.
func (b *Budget) Withdraw() bool {
	for {
		old := b.tokens.Load()
		if old < unitsPerToken {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-unitsPerToken) {
			return true
		}
	}
}

type key struct{ caller, service string }

type table struct {
	budgets sync.Map // key to *Budget
	size    atomic.Int64
}

// Budgets holds a budget for each caller and service. When it is full it
// starts afresh.
type Budgets struct{ current atomic.Pointer[table] }

// NewBudgets returns an empty set.
func NewBudgets() *Budgets {
	s := &Budgets{}
	s.current.Store(&table{})
	return s
}

// Get returns the budget of the caller at the service.
func (s *Budgets) Get(caller, service string) *Budget {
	t := s.current.Load()
	k := key{caller, service}
	if b, ok := t.budgets.Load(k); ok {
		return b.(*Budget)
	}
	if t.size.Add(1) > maxBudgets {
		fresh := &table{}
		s.current.CompareAndSwap(t, fresh)
		t = s.current.Load()
	}
	b, _ := t.budgets.LoadOrStore(k, NewBudget())
	return b.(*Budget)
}
