package health

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Outcome is how a task ended, as far as it tells of the worker's health.
type Outcome string

// The outcomes.
const (
	OutcomeDone          Outcome = "done"
	OutcomeFailedQuickly Outcome = "failedQuickly" // in less time than the work takes
	OutcomeFailedSlowly  Outcome = "failedSlowly"
	OutcomeSilent        Outcome = "silent"  // no answer, or no connection
	OutcomeRefused       Outcome = "refused" // not started, because the worker is full or draining; no failure
	OutcomeNone          Outcome = "none"    // cancelled; tells nothing
)

// weights are the observations that an outcome counts as. A silent task holds its slot and its permits until its lease has
// ended, so a silent worker costs more than a failing one.
var weights = map[Outcome]float64{
	OutcomeDone:          1,
	OutcomeFailedQuickly: 1,
	OutcomeFailedSlowly:  1,
	OutcomeSilent:        2,
}

// Classify returns the outcome of a task that a worker ran; a failure within quick is a quick one.
func Classify(err error, took, quick time.Duration) Outcome {
	if err == nil {
		return OutcomeDone
	}
	switch jaybarrow.AsError(err).Kind {
	case jaybarrow.KindWorkerFailed:
		if took < quick {
			return OutcomeFailedQuickly
		}
		return OutcomeFailedSlowly
	case jaybarrow.KindWorkerLost:
		return OutcomeSilent
	case jaybarrow.KindWorkerRefused:
		return OutcomeRefused
	default:
		return OutcomeNone
	}
}
