package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const maxUpdates = 8 // in one message

// Updates returns what the next message to a peer carries: the newest verdicts
// first, each in a bounded number of messages. If the peer is not known as live,
// the verdict on it is always among them, so that it can refute it.
func (t *Table) Updates(peer string) []Update {
	var out []Update
	if e, ok := t.members[peer]; ok && e.State >= Suspect {
		out = append(out, e.update())
	}
	for _, id := range t.freshest() {
		if id != peer {
			out = append(out, t.members[id].update())
		}
		t.spend(id)
		if len(out) >= maxUpdates {
			break
		}
	}
	return out
}

// freshest returns the ids with updates to send, the least sent first.
func (t *Table) freshest() []string {
	ids := make([]string, 0, len(t.rumors))
	for id := range t.rumors {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.rumors[b], t.rumors[a]), strings.Compare(a, b))
	})
	return ids
}

func (t *Table) spend(id string) {
	t.rumors[id]--
	if t.rumors[id] <= 0 {
		delete(t.rumors, id)
	}
}

// Target returns the member to probe next: one that this node suspects, or by
// turns the next one on the ring and one chosen by random, which is any number.
// Each member is thus probed by few others, whatever the number of members. It
// returns false if there is none.
func (t *Table) Target(random int) (Member, bool) {
	ring := t.probed()
	n := len(ring)
	if n < 2 {
		return Member{}, false
	}
	t.turn++
	if id, ok := t.doubtedOne(ring); ok && t.turn%3 != 0 {
		return t.members[id].view(), true
	}
	self := slices.Index(ring, t.self)
	step := 1
	if t.turn%2 == 0 {
		step = 1 + abs(random)%(n-1)
	}
	return t.members[ring[(self+step)%n]].view(), true
}

// doubtedOne returns one of the suspects that this node probes, by turns.
func (t *Table) doubtedOne(ring []string) (string, bool) {
	n := len(ring)
	for i := range n {
		id := ring[(t.turn+i)%n]
		if t.members[id].doubted {
			return id, true
		}
	}
	return "", false
}

// Doubts reports whether any suspect waits for this node's probes.
func (t *Table) Doubts() bool {
	_, ok := t.doubtedOne(t.probed())
	return ok
}

// Digest returns a hash of the verdicts on all members that are not dead. Two
// views with the same digest agree.
func (t *Table) Digest() uint64 {
	if t.digest != 0 {
		return t.digest
	}
	var buf []byte
	for id, e := range t.members {
		if e.State == Dead {
			continue
		}
		buf = append(buf[:0], id...)
		buf = append(buf, byte(e.State))
		buf = binary.BigEndian.AppendUint64(buf, e.Incarnation)
		t.digest ^= xxhash.Sum64(buf)
	}
	t.digest = max(1, t.digest)
	return t.digest
}

// Sync returns the next few verdicts for a peer whose view differs, so that
// repeated calls cover all members.
func (t *Table) Sync() []Update {
	ids := slices.Sorted(maps.Keys(t.members))
	var out []Update
	for range min(maxUpdates, len(ids)) {
		t.cursor = (t.cursor + 1) % len(ids)
		out = append(out, t.members[ids[t.cursor]].update())
	}
	return out
}

// probed returns the ids of all members that are not dead, with this node among
// them, by failure domain, so that most neighbours are near.
func (t *Table) probed() []string {
	if t.ring != nil {
		return t.ring
	}
	for id, e := range t.members {
		if e.State != Dead || id == t.self {
			t.ring = append(t.ring, id)
		}
	}
	slices.SortFunc(t.ring, func(a, b string) int {
		x, y := t.members[a], t.members[b]
		return cmp.Or(strings.Compare(string(x.FailureDomain), string(y.FailureDomain)), strings.Compare(a, b))
	})
	return t.ring
}

// Helpers returns members that can confirm that target does not answer: live
// ones of its region, or of anywhere when it has no other. Random is any number.
func (t *Table) Helpers(target string, count, random int) []Member {
	e, ok := t.members[target]
	if !ok {
		return nil
	}
	region := t.o.Region(e.FailureDomain)
	var near, far []Member
	for _, id := range t.probed() {
		o := t.members[id]
		if id == target || id == t.self || o.State >= Suspect {
			continue
		}
		if t.o.Region(o.FailureDomain) == region {
			near = append(near, o.view())
			continue
		}
		far = append(far, o.view())
	}
	if len(near) > 0 {
		return rotate(near, random, count)
	}
	return rotate(far, random, count)
}

func rotate(all []Member, random, count int) []Member {
	var out []Member
	for i := range min(count, len(all)) {
		out = append(out, all[(abs(random)+i)%len(all)])
	}
	return out
}

func abs(n int) int { return max(n, -n, 0) }
