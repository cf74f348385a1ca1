package health

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Outcome is the end of a task, classified by what it shows about the worker's health.
type Outcome string

// The outcomes.
const (
	OutcomeDone          Outcome = "done"
	OutcomeFailedQuickly Outcome = "failedQuickly" // in less time than a task normally takes
	OutcomeFailedSlowly  Outcome = "failedSlowly"
	OutcomeNoAnswer      Outcome = "silent"  // no answer, or no connection
	OutcomeRefused       Outcome = "refused" // not started because the worker is full or draining; not a failure
	OutcomeNone          Outcome = "none"    // inconclusive, such as a cancelled task
)

// weights are the numbers of observations that an outcome counts as; outcomes without a weight are not counted. A task without
// an answer holds its slot and its permits until its lease has ended, so an unresponsive worker costs more than a failing one.
var weights = map[Outcome]float64{
	OutcomeDone:          1,
	OutcomeFailedQuickly: 1,
	OutcomeFailedSlowly:  1,
	OutcomeNoAnswer:      2,
}

// Classify returns the outcome of a task that a worker ran; a failure in less than quickFailure counts as quick.
func Classify(err error, took, quickFailure time.Duration) Outcome {
	if err == nil {
		return OutcomeDone
	}
	switch jaybarrow.AsError(err).Kind {
	case jaybarrow.KindWorkerFailed:
		if took < quickFailure {
			return OutcomeFailedQuickly
		}
		return OutcomeFailedSlowly
	case jaybarrow.KindWorkerLost:
		return OutcomeNoAnswer
	case jaybarrow.KindWorkerRefused:
		return OutcomeRefused
	default:
		return OutcomeNone
	}
}
