package admit

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/entry/balance"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// oneSlot returns the queue of a set with a single slot.
func oneSlot() *Queue {
	set := balance.NewSet("s")
	q := NewQueue(set)
	view := &settings.View{Domains: []settings.FailureDomain{{Path: "a", Region: "r"}}}
	vm := platform.VM{ID: "e", Kind: platform.KindEndpoint, State: platform.VMLive, FailureDomain: "a", Service: "s", Slots: 1}
	balance.NewRegistry("self", "a").Update(view, []platform.VM{vm}, []*balance.Set{set})
	return q
}

func waiter(caller string, class fleet.RequestClass, deadline time.Duration) *Waiter {
	return &Waiter{Caller: caller, Class: class, Deadline: time.Now().Add(deadline), Choice: balance.Choice{Now: time.Now()}}
}

func TestFairness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := oneSlot()
		held, _ := q.Acquire(context.Background(), waiter("first", fleet.Idempotent, time.Hour), 100)
		order := make(chan string, 10)
		wait := func(caller, name string, deadline time.Duration) {
			go func() {
				slot, err := q.Acquire(context.Background(), waiter(caller, fleet.Idempotent, deadline), 100)
				if err != nil {
					t.Error(err)
					return
				}
				order <- name
				slot.Release()
			}()
			synctest.Wait()
		}
		wait("many", "many-late", 3*time.Hour)
		wait("many", "many-early", 2*time.Hour)
		wait("many", "many-last", 4*time.Hour)
		wait("one", "one", 5*time.Hour)
		held.Release()
		synctest.Wait()
		Convey("Callers take turns, and the nearest deadline of each goes first", t, func() {
			for _, want := range []string{"many-early", "one", "many-late", "many-last"} {
				So(<-order, ShouldEqual, want)
			}
			So(q.Waiting(), ShouldEqual, 0)
		})
	})
}

func TestShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := oneSlot()
		held, _ := q.Acquire(context.Background(), waiter("first", fleet.Idempotent, time.Hour), 3)
		outcome := make(map[string]chan error)
		wait := func(name, caller string, class fleet.RequestClass, deadline time.Duration) {
			result := make(chan error, 1)
			outcome[name] = result
			go func() {
				slot, err := q.Acquire(context.Background(), waiter(caller, class, deadline), 3)
				result <- err
				if slot != nil {
					slot.Release()
				}
			}()
			synctest.Wait()
		}
		wait("hopeless", "a", fleet.Idempotent, 10*time.Millisecond)
		wait("order", "a", fleet.NonIdempotent, 3*time.Hour)
		wait("lookup", "a", fleet.Idempotent, 2*time.Hour)
		wait("other", "b", fleet.Idempotent, time.Minute)
		wait("one too many", "c", fleet.Idempotent, time.Hour)
		Convey("What can't be in time is shed at once, and a full queue sheds the lookup of the busiest caller", t, func() {
			So(errors.Is(<-outcome["hopeless"], ErrShed), ShouldBeTrue)
			So(errors.Is(<-outcome["lookup"], ErrShed), ShouldBeTrue)
			So(q.Waiting(), ShouldEqual, 3)
		})
		time.Sleep(time.Minute)
		synctest.Wait()
		Convey("A waiter is shed when its deadline comes near; the rest is served", t, func() {
			So(errors.Is(<-outcome["other"], ErrShed), ShouldBeTrue)
			held.Release()
			So(<-outcome["order"], ShouldBeNil)
			So(<-outcome["one too many"], ShouldBeNil)
		})
	})
}

func TestLeaveReturnsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := oneSlot()
		held, _ := q.Acquire(context.Background(), waiter("a", fleet.Idempotent, time.Hour), 10)
		ended := make(chan error, 10)
		for i := range 10 {
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				slot, err := q.Acquire(ctx, waiter(fmt.Sprint(i), fleet.Idempotent, time.Hour), 10)
				if slot != nil {
					slot.Release()
				}
				ended <- err
			}()
			synctest.Wait()
			if i%2 == 0 {
				go cancel()
			} else {
				defer cancel()
			}
		}
		held.Release()
		for range 10 {
			<-ended
		}
		if slot := q.TryAcquire(balance.Choice{Now: time.Now()}); slot == nil {
			t.Fatal("a slot was lost")
		}
	})
}
