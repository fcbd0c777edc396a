package retry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBudget(t *testing.T) {
	Convey("A budget allows a burst, then the share of the first attempts", t, func() {
		budgets := NewBudgets()
		b := budgets.Get("caller", "service")
		So(budgets.Get("caller", "service"), ShouldPointTo, b)
		So(budgets.Get("other", "service"), ShouldNotPointTo, b)
		allowed := 0
		for b.Withdraw() {
			allowed++
		}
		So(allowed, ShouldEqual, maxTokens)
		for range 100 {
			b.Deposit(0.1)
			if b.Withdraw() {
				allowed++
			}
		}
		So(allowed, ShouldEqual, maxTokens+10)
	})
}
