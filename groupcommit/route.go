package groupcommit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinVMs is the number of VMs from which appends are shared: those of fewer VMs fit a slow log
	// one by one.
	MinVMs = 12
	// slowAppend is the duration of an append from which the log counts as slow. In calm an append
	// takes a round trip between regions and some milliseconds.
	slowAppend = 100 * time.Millisecond
	// fastAppend is the duration below which it counts as fast, and fastAppends the number of such
	// appends in a row after which VMs append for themselves again.
	fastAppend  = 70 * time.Millisecond
	fastAppends = 3
	// pingAfter is the time without an answer from a committer after which it is asked whether it is
	// alive, and pingTimeout the time for that answer. A log that refuses what would wait for over 2 s
	// can keep a committer that long.
	pingAfter   = 400 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
	// A committer that does not answer is asked again after minPause, which doubles with each
	// failure in a row.
	minPause = time.Second
	maxPause = 16 * time.Second
	// maxTried bounds the committers that a VM tries before it appends for itself.
	maxTried = 3
	// minNotices is the number of VMs that must have said within noticeWindow that the log is slow: one
	// VM may be cut off from it.
	minNotices   = 2
	noticeWindow = time.Second
	// maxSilent is the time without an answer from the log after which a committer may be cut off from
	// it. A log that refuses what would wait for over 2 s answers some append within that time.
	maxSilent = 2300 * time.Millisecond
)

// Peer is a VM that can be a committer.
type Peer struct {
	Name    string
	Address string // "IP:port"
	Cores   float64
}

// route decides through which VM records are appended. It answers a log that becomes slow for all
// VMs at once, for seconds, while some of them are restarted. It has no clock; callers pass the time
// since boot.
type route struct {
	self   string
	ranked []Peer // those with most cores first
	paused map[string]committerPause
	slow   bool
	fast   int // appends below fastAppend in a row
	// confirmed is set if an append was answered after slowAppend or later: the answer to another one
	// may have been lost.
	confirmed bool
	notices   map[string]time.Duration // when each VM last said that the log is slow
}

type committerPause struct {
	until    time.Duration
	failures int // in a row
}

// setPeers replaces the known VMs. All VMs compute the same order.
func (r *route) setPeers(peers []Peer) {
	r.ranked = slices.SortedFunc(slices.Values(peers), func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	for name := range r.paused {
		if !slices.ContainsFunc(r.ranked, func(p Peer) bool { return p.Name == name }) {
			delete(r.paused, name)
		}
	}
}

// handleNotice notes that a VM has an append that is slow. If it was answered, the log is slow; if not, it
// is once several VMs say so.
func (r *route) handleNotice(from string, answered bool, now time.Duration) (changed bool) {
	if r.notices == nil {
		r.notices = map[string]time.Duration{}
	}
	r.notices[from] = now
	n := 0
	for name, at := range r.notices {
		if now-at > noticeWindow {
			delete(r.notices, name)
			continue
		}
		n++
	}
	if !answered && n < minNotices {
		return false
	}
	return r.observe(slowAppend, answered)
}

// committer returns the VM through which to append now, and false if this VM appends for itself.
func (r *route) committer(now time.Duration) (Peer, bool) {
	if !r.slow || len(r.ranked) < MinVMs {
		return Peer{}, false
	}
	for _, p := range r.ranked {
		if p.Name == r.self || now >= r.paused[p.Name].until {
			return p, true
		}
	}
	return Peer{}, false
}

// observe notes the duration of an append, which this VM or a committer has sent, and whether it was
// answered. It reports whether the decision has changed.
func (r *route) observe(took time.Duration, answered bool) bool {
	was := r.slow
	switch {
	case took >= slowAppend:
		r.slow, r.fast = true, 0
		r.confirmed = r.confirmed || answered
	case took >= fastAppend:
		r.fast = 0
	case r.slow:
		if r.fast++; r.fast >= fastAppends {
			r.slow, r.fast, r.confirmed = false, 0, false
		}
	}
	return r.slow != was
}

// handleFailure excludes a committer that did not answer for a time.
func (r *route) handleFailure(name string, now time.Duration) {
	if r.paused == nil {
		r.paused = map[string]committerPause{}
	}
	if now < r.paused[name].until {
		return // calls that were made beside each other
	}
	n := r.paused[name].failures
	r.paused[name] = committerPause{until: now + min(maxPause, minPause<<min(n, 8)), failures: n + 1}
}

func (r *route) handleAnswer(name string) { delete(r.paused, name) }
