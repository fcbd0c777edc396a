package retry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBudget(t *testing.T) {
	Convey("A budget allows a burst, then the share of the first attempts", t, func() {
		budgets := NewBudgets()
		b := budgets.Of("caller", "service")
		So(budgets.Of("caller", "service"), ShouldPointTo, b)
		So(budgets.Of("other", "service"), ShouldNotPointTo, b)
		allowed := 0
		for b.Withdraw() {
			allowed++
		}
		So(allowed, ShouldEqual, burst)
		for range 100 {
			b.Deposit(0.1)
			if b.Withdraw() {
				allowed++
			}
		}
		So(allowed, ShouldEqual, burst+10)
	})
}
