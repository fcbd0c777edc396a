package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/platform/standin"
	"github.com/peridotlock/peridotlock/provider"
)

const wideSubmission = `{"spec":"x","steps":[{"count":60,"cpu":100,"memMb":10,"estimateMs":200}]}`

// TestRejectedRecordCostsOnlyItself guards against a cell that starts nothing any more, since its owner
// repeats an append that the store rejects for one of its records.
func TestRejectedRecordCostsOnlyItself(t *testing.T) {
	Convey("Given a store that rejects the progress of a wide submission", t, func() {
		c := newStore(t, 1)
		c.store.MaxRecordBytes = 700
		log := newFaultyLog(c, "")
		ledger := standin.NewLedger()
		for _, id := range []string{"i-0", "i-1", "i-2"} {
			c.addExecutorOf(ledger, id, "r1", 200*time.Millisecond)
		}
		vm := c.start("vm-0")
		So(eventually(vm.ready), ShouldBeTrue)
		status, _ := vm.call("POST", "/q/"+id1, wideSubmission)
		So(status, ShouldEqual, http.StatusOK)
		So(eventually(func() bool { return len(log.with(`"msg"="record rejected by the log"`, id1)) > 0 }), ShouldBeTrue)
		Convey("other submissions run, and the record is not sent again and again", func() {
			for i := range 5 {
				id := "00000000000000d" + strconv.Itoa(i)
				status, _ := vm.call("POST", "/q/"+id, batchSubmission)
				So(status, ShouldEqual, http.StatusOK)
				So(eventually(vm.hasState(id, "completed")), ShouldBeTrue)
				So(ledger.StartCount(id), ShouldEqual, 5)
			}
			So(len(log.with(`"msg"="record rejected by the log"`)), ShouldEqual, 1)
			So(vm.node.set.GetOrCreateCounter(`peridotlock_records_rejected_total{topic="progress"}`).Get(), ShouldEqual, 1)
			So(ledger.StartCount(id1), ShouldEqual, 0)
			So(vm.hasState(id1, "completed")(), ShouldBeFalse)
			So(len(log.with(ownerStarted)), ShouldEqual, 1)
			So(ledger.Violations(), ShouldBeEmpty)
		})
	})
}

// TestWriterDividesRejectedAppends checks that all records but the rejected ones are stored once, in order,
// whatever their place in an append, also while answers are lost.
func TestWriterDividesRejectedAppends(t *testing.T) {
	for _, rejected := range [][]int{{}, {0}, {6}, {3}, {0, 1, 2, 3, 4, 5, 6}, {2, 3}, {1, 5}} {
		for _, lost := range []int{0, 3} {
			fake := standin.NewStore(1)
			fake.MaxRecordBytes = 20
			fake.SetFaults(standin.Faults{DropAppendReplies: lost})
			server := httptest.NewServer(fake)
			store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), groupName, "vm-1", metrics.NewSet())
			w := newWriter(&Node{store: store, log: logr.Discard()}, progressPartition(0), 0, 1)
			var records, want []provider.KeyedRecord
			for i := range 7 {
				r := provider.KeyedRecord{Key: strconv.Itoa(i), Value: []byte("value")}
				if slices.Contains(rejected, i) {
					r.Value = make([]byte, 100)
					want = append(want, r)
				}
				records = append(records, r)
			}
			for range 2 { // the sequence goes on
				got, err := w.storeAll(context.Background(), records)
				if err != nil || len(got) != len(want) {
					t.Errorf("rejected %v, lost %d: %d records are returned as rejected, %v", rejected, lost, len(got), err)
				}
			}
			batch, err := store.ReadKeyed(context.Background(), progressPartition(0), 0, 0)
			if err != nil {
				t.Fatal(err)
			}
			var keys []string
			for _, r := range batch.Records {
				if r.Key != rejectedKey {
					keys = append(keys, r.Key)
				}
			}
			var wantKeys []string
			for range 2 {
				for i := range 7 {
					if !slices.Contains(rejected, i) {
						wantKeys = append(wantKeys, strconv.Itoa(i))
					}
				}
			}
			if !slices.Equal(keys, wantKeys) {
				t.Errorf("rejected %v, lost %d: stored %v, want %v", rejected, lost, keys, wantKeys)
			}
			server.Close()
		}
	}
}

// A record that lacks tasks must not be stored if the one before it, which says why, is rejected.
func TestLaterRecordsOfRejectedSubjectAreNotStored(t *testing.T) {
	fake := standin.NewStore(1)
	fake.MaxRecordBytes = 20
	server := httptest.NewServer(fake)
	defer server.Close()
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), groupName, "vm-1", metrics.NewSet())
	w := newWriter(&Node{store: store, log: logr.Discard()}, progressPartition(0), 0, 1)
	value, large := []byte("v"), make([]byte, 100)
	records := []provider.KeyedRecord{{Key: "a/1", Value: value}, {Key: "a", Value: large}, {Key: "b", Value: value}, {Key: "a/2", Value: value}, {Key: "a/3"}, {Key: "b/1", Value: value}}
	rejected, err := w.storeAll(context.Background(), records)
	var keys []string
	for _, r := range rejected {
		keys = append(keys, r.Key)
	}
	batch, readErr := store.ReadKeyed(context.Background(), progressPartition(0), 0, 0)
	var stored []string
	for _, r := range batch.Records {
		stored = append(stored, r.Key)
	}
	if err != nil || readErr != nil || !slices.Equal(keys, []string{"a", "a/2", "a/3"}) || !slices.Equal(stored, []string{"a/1", rejectedKey, "b", "b/1"}) {
		t.Errorf("rejected %v, %v, stored %v, %v", keys, err, stored, readErr)
	}
}

// A store that rejects all appends, or that has used up the sequence number of a rejected one, ends the term: the owner
// can't know what is stored.
func TestTermEndsIfRejectionsCannotBeDivided(t *testing.T) {
	for name, answer := range map[string]func(calls int) (int, string){
		"rejects all": func(int) (int, string) { return http.StatusForbidden, "{}" },
		"has used the sequence number": func(calls int) (int, string) {
			return map[bool]int{true: 400, false: 409}[calls == 1], `{"reason":"seq","seq":1}`
		},
	} {
		var mu sync.Mutex
		calls := 0
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			mu.Lock()
			defer mu.Unlock()
			calls++
			status, body := answer(calls)
			rw.WriteHeader(status)
			rw.Write([]byte(body))
		}))
		store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), groupName, "vm-1", metrics.NewSet())
		w := newWriter(&Node{store: store, log: logr.Discard()}, progressPartition(0), 0, 1)
		_, err := w.storeAll(context.Background(), recordsOf(4, 10))
		var sequence *provider.SequenceMismatchError
		if !errors.Is(err, provider.ErrRejected) && !errors.As(err, &sequence) || calls > 8 {
			t.Errorf("a store that %s: %v after %d calls", name, err, calls)
		}
		server.Close()
	}
}
