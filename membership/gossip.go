package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const maxUpdatesPerMessage = 8

// Updates returns the updates for the next message to a peer. The least sent come
// first, and each is sent in a bounded number of messages. If this node considers
// the peer suspect or dead, the update on the peer itself is always included, so
// that the peer can refute it.
func (t *Table) Updates(peer string) []Update {
	var out []Update
	if e, ok := t.members[peer]; ok && e.State >= Suspect {
		out = append(out, e.update())
	}
	for _, id := range t.pendingIDs() {
		if id != peer {
			out = append(out, t.members[id].update())
		}
		t.countTransmission(id)
		if len(out) >= maxUpdatesPerMessage {
			break
		}
	}
	return out
}

// pendingIDs returns the IDs of members with updates to send, least sent first.
func (t *Table) pendingIDs() []string {
	ids := make([]string, 0, len(t.pendingUpdates))
	for id := range t.pendingUpdates {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.pendingUpdates[b], t.pendingUpdates[a]), strings.Compare(a, b))
	})
	return ids
}

func (t *Table) countTransmission(id string) {
	t.pendingUpdates[id]--
	if t.pendingUpdates[id] <= 0 {
		delete(t.pendingUpdates, id)
	}
}

// Target returns the member to probe next: in two rounds of three a suspect that
// this node is to probe again, if any, and otherwise alternately this node's
// successor on the ring and a member selected by random, which may be any number.
// Each member is thus probed by few others regardless of the number of members.
// Target returns false if there is no other member.
func (t *Table) Target(random int) (Member, bool) {
	ring := t.probeRing()
	n := len(ring)
	if n < 2 {
		return Member{}, false
	}
	t.round++
	if id, ok := t.nextReprobe(ring); ok && t.round%3 != 0 {
		return t.members[id].view(), true
	}
	self := slices.Index(ring, t.self)
	step := 1
	if t.round%2 == 0 {
		step = 1 + abs(random)%(n-1)
	}
	return t.members[ring[(self+step)%n]].view(), true
}

// nextReprobe returns one of the suspects that this node is to probe again, in
// rotation.
func (t *Table) nextReprobe(ring []string) (string, bool) {
	n := len(ring)
	for i := range n {
		id := ring[(t.round+i)%n]
		if t.members[id].reprobe {
			return id, true
		}
	}
	return "", false
}

// NeedsReprobe reports whether there is a suspect that this node is to probe again.
func (t *Table) NeedsReprobe() bool {
	_, ok := t.nextReprobe(t.probeRing())
	return ok
}

// Digest returns a hash of the states and incarnations of all members that are
// not dead. Views with equal digests are taken to agree.
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

// Sync returns updates on the next few members for a peer whose view differs.
// Repeated calls cover all members.
func (t *Table) Sync() []Update {
	ids := slices.Sorted(maps.Keys(t.members))
	var out []Update
	for range min(maxUpdatesPerMessage, len(ids)) {
		t.syncCursor = (t.syncCursor + 1) % len(ids)
		out = append(out, t.members[ids[t.syncCursor]].update())
	}
	return out
}

// probeRing returns the IDs of this node and of all members that are not dead,
// sorted by failure domain so that most neighbors are in the same one.
func (t *Table) probeRing() []string {
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

// Helpers returns up to count members that can confirm that target does not
// respond. They are members of its region that are neither suspect nor dead, or
// of any other region if there are none. Random selects among them and may be any
// number.
func (t *Table) Helpers(target string, count, random int) []Member {
	e, ok := t.members[target]
	if !ok {
		return nil
	}
	region := t.opts.Region(e.FailureDomain)
	var near, far []Member
	for _, id := range t.probeRing() {
		o := t.members[id]
		if id == target || id == t.self || o.State >= Suspect {
			continue
		}
		if t.opts.Region(o.FailureDomain) == region {
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
