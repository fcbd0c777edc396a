package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings example of DEPLOY.md gives them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	partBytes   = 200 << 20
	totalBytes  = 400 << 20
	appendTime  = 2 * time.Millisecond
	answerTime  = 4 * time.Millisecond
	repeats     = 5 // appends of a producer whose repeat gets the first response again
)

// store is the platform's store: a log with conditional appends, epochs, keyed topics and
// one group, as in PROTOCOL.md. Operator and executors write to it with put.
type store struct {
	parts int

	mu      sync.Mutex
	logs    map[string]*partition
	changed chan struct{} // closed and replaced with each append
	bytes   int
	group   group
	refused map[string]int // appends that were refused because of a record's size, by topic
}

type partition struct {
	first     int64 // offset of records[0]
	records   [][]byte
	bytes     int
	newest    map[string]stored
	producers map[string]*producer
	busyUntil time.Time
}

type stored struct {
	offset int64
	value  []byte
}

type producer struct {
	epoch, seq int64
	recent     []answered
}

type answered struct {
	epoch, seq, offset, end int64
}

func newStore(parts int) *store {
	return &store{parts: parts, logs: map[string]*partition{}, changed: make(chan struct{}), refused: map[string]int{},
		group: group{members: map[string]time.Time{}, dealt: make([]dealt, parts)}}
}

func (s *store) partition(topic, part string) *partition {
	key := topic + "/" + part
	p, ok := s.logs[key]
	if !ok {
		p = &partition{newest: map[string]stored{}, producers: map[string]*producer{}}
		s.logs[key] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// put writes a record of the operator or an executor.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.append(s.partition("keyed."+topic, "0"), true, [][]byte{append(record, value...)})
}

// append stores records. It drops the oldest of the partition beyond partBytes; the newest
// record of each key stays.
func (s *store) append(p *partition, keyed bool, records [][]byte) {
	for _, r := range records {
		if keyed && len(r) > int(r[0]) {
			n := 1 + int(r[0])
			if key := string(r[1:n]); len(r) == n {
				delete(p.newest, key)
			} else {
				p.newest[key] = stored{p.end(), r[n:]}
			}
		}
		p.records = append(p.records, r)
		p.bytes += len(r)
		s.bytes += len(r)
	}
	for p.bytes > partBytes {
		p.bytes -= len(p.records[0])
		s.bytes -= len(p.records[0])
		p.records = p.records[1:]
		p.first++
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, r)
	case "/api/log-read":
		s.serveRead(w, r)
	case "/api/log-newest":
		s.serveNewest(w, r)
	case "/api/log-join", "/api/log-leave":
		s.serveGroup(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client has gone, and its request is not complete
	}
	q := r.URL.Query()
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		records = append(records, rest[4:4+n])
		rest = rest[4+n:]
	}
	large := slices.ContainsFunc(records, func(b []byte) bool { return len(b) > recordBytes })
	s.mu.Lock()
	if large || len(body) > callBytes {
		s.refused[q.Get("topic")]++
		s.mu.Unlock()
		http.Error(w, "a record or the call is too large", http.StatusRequestEntityTooLarge)
		return
	}
	p := s.partition(q.Get("topic"), q.Get("part"))
	start := time.Now()
	if p.busyUntil.After(start) {
		start = p.busyUntil
	}
	p.busyUntil = start.Add(appendTime)
	s.mu.Unlock()
	time.Sleep(time.Until(start.Add(appendTime)))
	s.mu.Lock()
	defer s.mu.Unlock()
	status, answer := s.appendIf(p, q.Get, records)
	reply(w, status, answer)
}

// appendIf appends if the conditions of the query hold. A repeat is told by producer, epoch
// and number alone.
func (s *store) appendIf(p *partition, query func(string) string, records [][]byte) (int, any) {
	name, epoch, seq := query("producer"), number(query("epoch")), number(query("seq"))
	pr := p.producers[name]
	if name != "" && pr != nil {
		for _, a := range pr.recent {
			if a.epoch == epoch && a.seq == seq && epoch == pr.epoch {
				return http.StatusOK, map[string]int64{"offset": a.offset, "end": a.end}
			}
		}
		switch {
		case epoch < pr.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch == pr.epoch && seq != pr.seq+1:
			return http.StatusConflict, map[string]any{"reason": "seq", "seq": pr.seq + 1}
		}
	}
	if at := query("at"); at != "" && number(at) != p.end() {
		return http.StatusPreconditionFailed, map[string]int64{"end": p.end()}
	}
	if s.bytes > totalBytes {
		return http.StatusInsufficientStorage, map[string]any{}
	}
	offset := p.end()
	if len(records) > 0 {
		s.append(p, strings.HasPrefix(query("topic"), "keyed."), records)
	}
	if name != "" {
		if pr == nil {
			pr = &producer{}
			p.producers[name] = pr
		}
		pr.epoch, pr.seq = epoch, seq
		pr.recent = append(pr.recent, answered{epoch, seq, offset, p.end()})
		pr.recent = pr.recent[max(0, len(pr.recent)-repeats):]
	}
	return http.StatusOK, map[string]int64{"offset": offset, "end": p.end()}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(q.Get("from"))
	most := 1024 << 10
	if kb := number(q.Get("maxKb")); kb > 0 {
		most = int(kb) << 10
	}
	deadline := time.NewTimer(time.Duration(min(number(q.Get("waitMs")), 30_000)) * time.Millisecond)
	defer deadline.Stop()
	for waited := q.Get("waitMs") == ""; ; {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), q.Get("part"))
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		changed := s.changed
		out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
		out = binary.BigEndian.AppendUint64(out, uint64(p.first))
		for i := from; i < p.end(); i++ {
			record := p.records[i-p.first]
			if i > from && len(out)+4+len(record) > most {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
			out = append(out, record...)
		}
		hasMore := from < p.end()
		s.mu.Unlock()
		if hasMore || waited {
			w.Write(out) // fails only if the client has gone
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > q.Get("dependsOn") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		v := p.newest[key]
		if len(items) == 500 || len(items) > 0 && size+len(v.value) > 1<<20 {
			more = true
			break
		}
		size += len(v.value)
		items = append(items, item{key, base64.StdEncoding.EncodeToString(v.value), v.offset})
	}
	end := p.end()
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}

func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0 // absent
	}
	return n
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) // fails only if the client has gone
}

// group divides the partitions of its topics evenly among its members. A partition that goes
// to another member stays unlisted until its holder joins with the generation that took it
// away, or a later one, leaves, or has sent nothing for its ttl.
type group struct {
	members    map[string]time.Time // end of the ttl
	generation int64
	dealt      []dealt
}

type dealt struct {
	target, holder string
	takenAt        int64
}

func (s *store) serveGroup(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTLMs      int64    `json:"ttlMs"`
		Generation int64    `json:"generation"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.group
	before := g.names()
	for name, until := range g.members {
		if until.Before(time.Now()) {
			delete(g.members, name)
		}
	}
	if strings.HasSuffix(r.URL.Path, "leave") {
		delete(g.members, call.Member)
	} else {
		g.members[call.Member] = time.Now().Add(time.Duration(call.TTLMs) * time.Millisecond)
	}
	if now := g.names(); !slices.Equal(now, before) {
		g.deal(now)
	}
	rows := [][]any{}
	for i := range g.dealt {
		d := &g.dealt[i]
		if d.holder == call.Member && d.target != call.Member && call.Generation >= d.takenAt {
			d.holder = d.target
		}
		for _, topic := range call.Topics {
			if d.holder == call.Member && d.target == call.Member {
				rows = append(rows, []any{topic, i, 0})
			}
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": call.TTLMs, "parts": rows})
}

func (g *group) names() []string {
	names := []string{}
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// deal assigns partitions evenly, and leaves them where they are if that is even.
func (g *group) deal(names []string) {
	g.generation++
	count := map[string]int{}
	most := 0
	if len(names) > 0 {
		most = (len(g.dealt) + len(names) - 1) / len(names)
	}
	for i := range g.dealt {
		d := &g.dealt[i]
		if _, ok := g.members[d.target]; ok && count[d.target] < most {
			count[d.target]++
			continue
		}
		d.target = ""
	}
	for i := range g.dealt {
		d := &g.dealt[i]
		for _, name := range names {
			if d.target == "" && count[name] < most {
				d.target = name
				count[name]++
			}
		}
		if _, ok := g.members[d.holder]; !ok {
			d.holder = d.target
		}
		switch {
		case d.holder == d.target:
			d.takenAt = 0
		case d.takenAt == 0:
			d.takenAt = g.generation
		}
	}
}
