package dispatch

import (
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/provider"
)

const (
	// crashRateWindow is the time over which the fleet's rate of crashes is estimated.
	crashRateWindow = time.Minute
	// commonCauseWindow is the time within which executors that are lost together count as
	// lost for a common cause, from minCommonCause executors on. Some are noticed only when a
	// call has timed out.
	commonCauseWindow = time.Second
	minCommonCause    = 3
	// minCommonCauseFleet is the number of executors from which losses together tell of a
	// common cause: in a smaller fleet a few crashing tasks keep most executors down.
	minCommonCauseFleet = 8
	// maxCommonCauseRate is the highest rate, per executor and second, that such losses count
	// for: several crashing tasks at once look like a common cause.
	maxCommonCauseRate = 0.1
	// contactLossKept is the time for which losses of contact are kept: a crash may be
	// confirmed long after it.
	contactLossKept = 15 * time.Second
)

// contactLoss is the first failed call to an executor since its newest report.
type contactLoss struct {
	executor provider.ExecutorID
	at       time.Duration
	outside  float64 // probability that no run of the executor is the cause
}

// fleetCrashes is what the rate of crashes is estimated from.
type fleetCrashes struct {
	losses      []contactLoss // of the last contactLossKept
	unexplained []unexplained // crashes of the last crashRateWindow
}

// unexplained is the probability that no run caused a crash.
type unexplained struct {
	at          time.Duration
	probability float64
}

// addLoss records that contact to an executor was lost.
func (f *fleetCrashes) addLoss(id provider.ExecutorID, at time.Duration) {
	f.losses = slices.DeleteFunc(f.losses, func(l contactLoss) bool { return at-l.at > contactLossKept })
	f.losses = append(f.losses, contactLoss{executor: id, at: at, outside: 1})
}

// lostTogether returns the expected number of executors to which contact was lost within
// commonCauseWindow of a time, without those that one of their runs has crashed.
func (f *fleetCrashes) lostTogether(at time.Duration) float64 {
	sum := 0.0
	for _, l := range f.losses {
		if (l.at - at).Abs() <= commonCauseWindow {
			sum += l.outside
		}
	}
	return sum
}

// explain records the probability that no run caused the loss of an executor.
func (f *fleetCrashes) explain(id provider.ExecutorID, at time.Duration, outside float64) {
	for i := range f.losses {
		if l := &f.losses[i]; l.executor == id && l.at == at {
			l.outside = outside
		}
	}
	f.unexplained = slices.DeleteFunc(f.unexplained, func(u unexplained) bool { return at-u.at > crashRateWindow })
	f.unexplained = append(f.unexplained, unexplained{at, outside})
}

// retract removes what explain has recorded last of a loss at a time, and returns it.
func (f *fleetCrashes) retract(at time.Duration) []unexplained {
	for i, u := range slices.Backward(f.unexplained) {
		if u.at == at {
			f.unexplained = slices.Delete(f.unexplained, i, i+1)
			return []unexplained{u}
		}
	}
	return nil
}

// rate returns the rate of crashes that no run causes, per executor and second, at a time in a
// fleet of a number of executors.
func (f *fleetCrashes) rate(at time.Duration, executors int) float64 {
	n := float64(max(1, executors))
	sum := 1.0 // a first crash has no rate before it
	for _, u := range f.unexplained {
		if at-u.at <= crashRateWindow {
			sum += u.probability
		}
	}
	rate := sum / n / crashRateWindow.Seconds()
	if k := f.lostTogether(at); k >= minCommonCause && executors >= minCommonCauseFleet {
		rate = max(rate, min(maxCommonCauseRate, k/n/(2*commonCauseWindow).Seconds()))
	}
	return rate
}
