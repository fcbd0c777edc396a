package node

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/tail"
)

func recordsOf(count, size int) []provider.KeyedRecord {
	records := make([]provider.KeyedRecord, count)
	for i := range records {
		records[i] = provider.KeyedRecord{Key: strconv.Itoa(i), Value: make([]byte, size)}
	}
	return records
}

// Copies of an append that are sent while the first one is on its way share its link. With
// four of them, none ended within the limit of an attempt, and further ones followed.
func TestCopiesOfAppendOverSlowLink(t *testing.T) {
	Convey("An append that a slow link carries in 1.3 s alone is stored within 4 s", t, func() {
		link := newSlowLink(t, 200_000)
		w := newWriter(&Node{store: link.client(metrics.NewSet()), log: logr.Discard()}, progressPartition(0), 0, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		start := time.Now()
		So(w.store(ctx, recordsOf(64, 4000), w.nextCondition()), ShouldBeNil)
		t.Log("stored after", time.Since(start))
	})
}

// limitedStore accepts appends within the platform's limits.
func limitedStore(t *testing.T) *platform.Store {
	const callBytes, recordBytes = 2_097_152, 262_144
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		tooLarge := len(body) > callBytes
		for rest := body; len(rest) >= 4; {
			n := int(binary.BigEndian.Uint32(rest))
			tooLarge = tooLarge || n > recordBytes
			rest = rest[4+n:]
		}
		if tooLarge {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		w.Write([]byte(`{"offset":0,"end":1}`))
	}))
	t.Cleanup(server.Close)
	return platform.NewStore(strings.TrimPrefix(server.URL, "http://"), groupName, "vm-1", metrics.NewSet())
}

func TestLargeBatchIsStored(t *testing.T) {
	Convey("A batch of more bytes than the store accepts in one call is stored", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		o := &owner{ctx: ctx, inbox: make(chan func(time.Duration), 16)}
		w := newWriter(&Node{store: limitedStore(t), log: logr.Discard()}, progressPartition(0), 0, 1)
		stored := false
		w.append(o, recordsOf(700, 3500), func(time.Duration) { stored = true }) // 2.45 MB
		for deadline := time.After(2 * time.Second); !stored; {
			select {
			case f := <-o.inbox:
				f(0)
				continue
			case <-deadline:
			}
			break
		}
		So(stored, ShouldBeTrue)
	})
}

// The timeout of orders and heartbeats follows the latency of orders, but only of those that
// ended in time: if a full link adds half a second, all of them fail until it is empty.
func TestTimeoutFollowsSuddenLatency(t *testing.T) {
	Convey("After a sudden rise of all latencies to 600 ms, calls succeed again", t, func() {
		const before, after = 10 * time.Millisecond, 600 * time.Millisecond
		var l latency
		for range 100 {
			l.observe(before)
		}
		succeeded := 0
		for range 50 {
			if l.timeout() >= after { // otherwise the call ends without an observation
				l.observe(after)
				succeeded++
			}
		}
		So(succeeded, ShouldBeGreaterThan, 0)
	})
}

// Requests are rejected if the configuration is older than a limit. A read that takes long
// returns what the log held when its response began.
func TestAgeCountsFromBeginOfResponse(t *testing.T) {
	Convey("The age of records that took 0.6 s to arrive is at least 0.6 s", t, func() {
		body := append(make([]byte, 16), 0, 0, 0, 2, 1, 'a')
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "newest") {
				w.Write([]byte(`{"items":[],"more":false,"end":0}`))
				return
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			w.Write(body[:16])
			w.(http.Flusher).Flush()
			time.Sleep(600 * time.Millisecond)
			w.Write(body[16:])
		}))
		defer server.Close()
		f := tail.New(tail.Options{
			Log:       platform.NewStore(strings.TrimPrefix(server.URL, "http://"), groupName, "vm-1", metrics.NewSet()),
			Partition: platform.OperatorPartition, Logger: logr.Discard(),
			PollInterval: func() time.Duration { return 0 }, Apply: func([]provider.KeyedRecord, bool) {},
		})
		ctx := context.Background()
		So(f.CatchUp(ctx), ShouldBeNil)
		So(f.CatchUp(ctx), ShouldBeNil)
		age, known := f.Age()
		So(known, ShouldBeTrue)
		So(age, ShouldBeGreaterThanOrEqualTo, 600*time.Millisecond)
	})
}

// A reader that is behind by several versions of the configuration received all of them over
// a link that it shares with other readers, instead of the newest.
func TestReaderSkipsSupersededVersions(t *testing.T) {
	Convey("A reader behind by 10 versions of 100 kB receives less than 4 of them", t, func() {
		link := newSlowLink(t, 10_000_000)
		set := metrics.NewSet()
		link.store.Put(platform.OperatorPartition.Topic, "config", "small")
		f := tail.New(tail.Options{
			Log: link.client(set), Partition: platform.OperatorPartition, Logger: logr.Discard(),
			PollInterval: func() time.Duration { return 0 }, Apply: func([]provider.KeyedRecord, bool) {},
		})
		ctx := context.Background()
		So(f.CatchUp(ctx), ShouldBeNil)
		for range 10 {
			link.store.Put(platform.OperatorPartition.Topic, "config", strings.Repeat("c", 100_000))
		}
		So(f.CatchUp(ctx), ShouldBeNil)
		So(set.GetOrCreateCounter(`peridotlock_received_bytes_total{peer="store"}`).Get(), ShouldBeLessThan, 400_000)
	})
}
