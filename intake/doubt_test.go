package intake

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// silentLog stores appends, if it is reached, and never answers them.
type silentLog struct {
	provider.KeyedLog
	reached bool
	mu      sync.Mutex
	stored  []provider.KeyedRecord
}

func (l *silentLog) AppendKeyed(ctx context.Context, _ provider.Partition, records []provider.KeyedRecord, _ provider.Condition) (provider.Offset, error) {
	if l.reached {
		l.mu.Lock()
		l.stored = append(l.stored, records...)
		l.mu.Unlock()
	}
	<-ctx.Done()
	return 0, provider.ErrInDoubt
}

// TestRecordInDoubtIsReadBack replays a log that loses all answers to appends and still answers reads.
func TestRecordInDoubtIsReadBack(t *testing.T) {
	for _, c := range []struct {
		reached bool
		status  int
	}{{true, http.StatusOK}, {false, http.StatusGatewayTimeout}} {
		var status, cancelled int
		var took time.Duration
		synctest.Test(t, func(*testing.T) {
			log := &silentLog{reached: c.reached}
			replica := cell.NewReplica()
			config := policy.New(1, []policy.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", Timeout: 3 * time.Second}}, nil)
			in := New(Options{
				Log: log, Submissions: replica, MaxConfigAge: time.Minute, Logger: logr.Discard(), Metrics: metrics.NewSet(),
				Config:         func() (*policy.Config, time.Duration) { return config, 0 },
				SubmissionsAge: func() (time.Duration, bool) { return time.Second, true },
				CatchUp: func(context.Context) error {
					log.mu.Lock()
					defer log.mu.Unlock()
					for _, r := range log.stored {
						if err := replica.Apply(r, 0); err != nil {
							return err
						}
					}
					log.stored = nil
					return nil
				},
			})
			req := Request{Host: "h", Path: "/q/00000000000000a1"}
			start := time.Now()
			status = in.Submit(context.Background(), req, submission.Submission{Steps: []submission.Step{{Count: 1}}}).Status
			took = time.Since(start)
			if status == http.StatusOK {
				cancelled = in.Cancel(context.Background(), req).Status
			}
			time.Sleep(maxCallTimeout)
		})
		Convey("A record in doubt is reported as stored only if it is read back", t, func() {
			So(status, ShouldEqual, c.status)
			So(took, ShouldBeLessThan, 3*time.Second)
			if c.reached {
				So(cancelled, ShouldEqual, http.StatusOK)
			}
		})
	}
}
