package task

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
)

// renewalResult is the worker's response to a renewal of a task's lease.
type renewalResult struct {
	report
	sentAt time.Time
	err    error
}

// taskState is what the response to a renewal shows of the state of a task.
type taskState string

const (
	stateUncertain taskState = "uncertain"
	stateRunning   taskState = "running"
	stateEnded     taskState = "ended" // the worker has stored the outcome
	stateFinal     taskState = "final" // the result of the run is known
)

// fastRenewalDivisor divides the time between renewals after one has failed, or while only renewals report on the task.
const fastRenewalDivisor = 3

// unknownAnswersBeforeWithdrawal is how often, after its exchange failed, the worker must report a task as unknown before
// its start is withdrawn.
const unknownAnswersBeforeWithdrawal = 2

// renewLoop renews the lease until the run ends.
func (r *run) renewLoop() {
	clock, interval := r.client.clock, r.client.settings.RenewEvery
	wait := interval
	for {
		select {
		case <-r.stop:
			return
		case <-r.renewNow:
		case <-clock.After(wait):
		}
		result, ok := r.sendRenewal()
		if !ok {
			return
		}
		select {
		case r.renewals <- result:
		case <-r.stop:
			return
		}
		wait = interval
		if result.err != nil || r.exchangeFailed.Load() {
			wait = interval / fastRenewalDivisor
		}
	}
}

// sendRenewal sends one renewal. It reports false when renewals have stopped.
func (r *run) sendRenewal() (renewalResult, bool) {
	a, c := r.attempt, r.client
	now := c.clock.Now()
	if !a.recordRenewal(now) {
		return renewalResult{}, false
	}
	result := renewalResult{sentAt: now}
	// The end of the lease is given in the worker's clock, so that a renewal that arrives late extends it no further. Without
	// a recent reading the worker gets a time in the past, which extends nothing, and its response brings a reading.
	until, _, ok := c.worker(a.host.Address).clock.workerTime(now, now.Add(c.settings.Lease))
	if !ok {
		until = 1
	}
	result.report, result.err = c.ask(a.host, fasthttp.MethodPost, a.task.ID, "/renew", func(request *fasthttp.Request) {
		request.Header.Set(HeaderLeaseUntil, strconv.FormatInt(int64(max(until, 1)), 10))
	})
	return result, true
}

// evaluateRenewal returns what the response to a renewal shows; the result is set only with stateFinal.
func (r *run) evaluateRenewal(result renewalResult) (runResult, taskState) {
	a := r.attempt
	switch {
	case result.err != nil:
		return runResult{}, stateUncertain
	case a.workerRestarted(result.report):
		a.setEnded()
		return workerLost(jaybarrow.EffectMayHaveRun, "%s restarted", a.host.ID), stateFinal
	case result.outcome == OutcomeRunning:
		return runResult{}, stateRunning
	case result.outcome.ended(), result.outcome == OutcomeRefused:
		return runResult{}, stateEnded
	case result.outcome == OutcomeUnknown && a.cannotRun(result.report):
		return r.withdraw()
	case result.outcome == OutcomeUnknown && r.exchangeFailed.Load():
		// The start may have been sent and not yet read; one unknown answer does not withdraw a task that is about to run.
		r.unknownAnswers++
		if r.unknownAnswers >= unknownAnswersBeforeWithdrawal {
			return r.withdraw()
		}
		return runResult{}, stateUncertain
	default:
		return runResult{}, stateUncertain
	}
}

// withdraw makes the worker refuse a start that it has not received, so that the task does not run.
func (r *run) withdraw() (runResult, taskState) {
	a := r.attempt
	reported, err := r.client.ask(a.host, fasthttp.MethodDelete, a.task.ID, "", noExtraHeaders)
	switch {
	case err != nil:
		return runResult{}, stateUncertain
	case a.neverRan(reported):
		return workerLost(jaybarrow.EffectNotRun, "the start did not reach %s", a.host.ID), stateFinal
	case reported.outcome.ended():
		return runResult{}, stateEnded
	default:
		return runResult{}, stateUncertain
	}
}
