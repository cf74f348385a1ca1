package task

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
)

// renewal is the worker's answer to a renewal of a task's lease.
type renewal struct {
	report
	sentAt time.Time
	err    error
}

// state is what a renewal's answer means for the supervision of a task.
type state string

const (
	stateUncertain state = "uncertain"
	stateRunning   state = "running"
	stateEnded     state = "ended" // a final word is stored at the worker
	stateFinal     state = "final" // the verdict is known
)

// eagerness divides the time between renewals when one has failed or when only renewals tell of the task.
const eagerness = 3

// unknownsToWithdraw is how often the worker must not know a task, after its exchange failed, before its start is withdrawn.
const unknownsToWithdraw = 2

// renewals renews the lease until the run ends.
func (r *run) renewals() {
	clock, interval := r.client.clock, r.client.settings.RenewEvery
	wait := interval
	for {
		select {
		case <-r.stop:
			return
		case <-r.hurry:
		case <-clock.After(wait):
		}
		result, ok := r.renew()
		if !ok {
			return
		}
		select {
		case r.reports <- result:
		case <-r.stop:
			return
		}
		wait = interval
		if result.err != nil || r.detached.Load() {
			wait = interval / eagerness
		}
	}
}

// renew sends one renewal; it reports false when the run has ended.
func (r *run) renew() (renewal, bool) {
	a, c := r.attempt, r.client
	now := c.clock.Now()
	if !a.beginRenewal(now) {
		return renewal{}, false
	}
	result := renewal{sentAt: now}
	// The end of the lease is given in the worker's clock, so that a renewal that arrives late extends it no further. With
	// no recent reading the worker gets a time in the past, which extends nothing, and its answer brings a reading.
	until, _, ok := c.worker(a.host.Address).clock.at(now, now.Add(c.settings.Lease))
	if !ok {
		until = 1
	}
	result.report, result.err = c.ask(a.host, fasthttp.MethodPost, a.task.ID, "/renew", func(request *fasthttp.Request) {
		request.Header.Set(HeaderLeaseUntil, strconv.FormatInt(int64(max(until, 1)), 10))
	})
	return result, true
}

// consider judges a renewal's answer.
func (r *run) consider(result renewal) (verdict, state) {
	a := r.attempt
	switch {
	case result.err != nil:
		return verdict{}, stateUncertain
	case a.restarted(result.report):
		a.setEnded()
		return lost(jaybarrow.EffectMayHaveRun, "%s restarted", a.host.ID), stateFinal
	case result.outcome == OutcomeRunning:
		return verdict{}, stateRunning
	case result.outcome.ended(), result.outcome == OutcomeRefused:
		return verdict{}, stateEnded
	case result.outcome == OutcomeUnknown && a.over(result.report):
		return r.withdraw()
	case result.outcome == OutcomeUnknown && r.detached.Load():
		// The start may have been sent and not yet read; a task that is about to run is not withdrawn at the first word.
		r.unknowns++
		if r.unknowns >= unknownsToWithdraw {
			return r.withdraw()
		}
		return verdict{}, stateUncertain
	default:
		return verdict{}, stateUncertain
	}
}

// withdraw makes the worker refuse a start that it has not seen, so that the task certainly does not run.
func (r *run) withdraw() (verdict, state) {
	a := r.attempt
	result, err := r.client.ask(a.host, fasthttp.MethodDelete, a.task.ID, "", unchanged)
	switch {
	case err != nil:
		return verdict{}, stateUncertain
	case a.neverRan(result):
		return lost(jaybarrow.EffectNotRun, "the start did not reach %s", a.host.ID), stateFinal
	case result.outcome.ended():
		return verdict{}, stateEnded
	default:
		return verdict{}, stateUncertain
	}
}
