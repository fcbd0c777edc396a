package experiment

import (
	"flag"
	"testing"
)

// node is a state with the path by which the search first reached it.
type node struct {
	m      *model
	parent *node
	action string
	hash   uint64
}

func (n *node) path() string {
	if n.parent == nil {
		return ""
	}
	return n.parent.path() + "\n  " + n.action
}

// search visits all states that are reachable within the bounds and returns their
// number. It visits states of earlier times first: a state that differs from a
// visited one only by a later time leads to no new states.
func search(t *testing.T, b bounds) int {
	first := make(map[uint64]int) // earliest time of each state
	levels := make([][]*node, b.ticks+1)
	add := func(n *node) {
		if fault := n.m.check(); fault != "" {
			t.Fatalf("%s after:%s", fault, n.path())
		}
		level := int(n.m.now.Sub(modelStart) / modelTick)
		n.hash = fingerprint(n.m)
		if known, ok := first[n.hash]; ok && known <= level {
			return
		}
		first[n.hash] = level
		levels[level] = append(levels[level], n)
		if len(first) > b.maxStates {
			t.Fatalf("more than %d states at tick %d, one of them after:%s", b.maxStates, level, n.path())
		}
	}
	add(&node{m: newModel(b)})
	for level := range levels {
		for len(levels[level]) > 0 {
			n := levels[level][0]
			levels[level] = levels[level][1:]
			if first[n.hash] == level {
				expand(n, add)
			}
			n.m = nil
		}
	}
	return len(first)
}

// expand adds the successors of n.
func expand(n *node, add func(*node)) {
	for _, s := range n.m.actions() {
		next := &node{m: clone(n.m), parent: n, action: s.name}
		s.run(next.m)
		add(next)
	}
}

// large selects the larger searches, which take minutes with the race detector.
var large = flag.Bool("large", false, "run the model tests with larger bounds")

func TestModel(t *testing.T) {
	for name, b := range map[string]bounds{
		"rack taken over":             {racks: 1, workers: 1, tasks: 1, ticks: 3, attempts: 2, faults: 1, rackTakeover: true},
		"one of two racks taken over": {racks: 2, workers: 2, tasks: 1, ticks: 3, attempts: 2, faults: 1, noDelays: !*large, rackTakeover: true},
		"queue taken over":            {racks: 1, workers: 2, tasks: 1, ticks: 2, attempts: 2, faults: 1, queueTakeover: true},
		"rack and queue taken over":   {racks: 1, workers: 1, tasks: 1, ticks: 2, attempts: 2, rackTakeover: true, queueTakeover: true},
		"failure domain taken out":    {racks: 1, workers: 2, tasks: 1, ticks: 2, attempts: 2, faults: 1, takeOut: true},
		"two tasks on one VM":         {racks: 1, workers: 1, tasks: 2, ticks: 1, attempts: 1, faults: 1, queueTakeover: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b.maxStates = 100_000
			if *large {
				b.ticks++
				b.maxStates = 400_000
			}
			t.Logf("%d states", search(t, b))
		})
	}
}
