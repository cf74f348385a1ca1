package e2e

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

// ledgers holds the ledger of each worker.
type ledgers map[jaybarrow.HostID][]worker.Entry

type requestKey struct {
	team jaybarrow.TeamID
	id   jaybarrow.RequestID
}

// started returns the tasks that were started, whether or not they ended, by request.
func (l ledgers) started() map[requestKey][]worker.Entry {
	runs := make(map[requestKey][]worker.Entry)
	for _, entries := range l {
		for _, e := range entries {
			if e.StartedNs != 0 {
				key := requestKey{e.Team, e.Request}
				runs[key] = append(runs[key], e)
			}
		}
	}
	return runs
}

// checkLimit returns an error if the team ever used more slots than its limit.
func checkLimit(l ledgers, team jaybarrow.TeamID, limit jaybarrow.Slots) error {
	return checkLimitBetween(l, team, limit, 0, math.MaxInt64)
}

// checkLimitBetween returns an error if the team used more slots than the limit at any time in the interval, which is given in
// nanoseconds of the wall clock.
func checkLimitBetween(l ledgers, team jaybarrow.TeamID, limit jaybarrow.Slots, from, until int64) error {
	type slotChange struct {
		atNs  int64
		slots jaybarrow.Slots
	}
	var changes []slotChange
	for _, entries := range l {
		for _, e := range entries {
			if e.Team != team || e.StartedNs == 0 {
				continue
			}
			if e.StartedNs > until || (e.EndedNs != 0 && e.EndedNs <= from) {
				continue
			}
			changes = append(changes, slotChange{max(from, e.StartedNs), e.Slots})
			if e.EndedNs != 0 {
				changes = append(changes, slotChange{e.EndedNs, -e.Slots})
			}
		}
	}
	// When one task ends in the nanosecond in which another starts, the end counts first.
	slices.SortFunc(changes, func(a, b slotChange) int { return cmp.Or(cmp.Compare(a.atNs, b.atNs), cmp.Compare(a.slots, b.slots)) })
	running := jaybarrow.Slots(0)
	for _, c := range changes {
		if running += c.slots; running > limit {
			return fmt.Errorf("team %s: %d slots ran at %d ns, limit %d", team, running, c.atNs, limit)
		}
	}
	return nil
}

// checkAnswers returns an error if a caller got the answer to another request, or one whose task is in no ledger.
func checkAnswers(l ledgers, all []callResult) error {
	runs := l.started()
	for _, t := range all {
		if t.kind != "" {
			continue
		}
		if t.answer.Request != t.request || t.answer.Echo != t.echo {
			return fmt.Errorf("request %s of %s got the answer to %s (%q)", t.request, t.team, t.answer.Request, t.answer.Echo)
		}
		if !slices.ContainsFunc(runs[requestKey{t.team, t.request}], func(e worker.Entry) bool { return e.Task == t.answer.Task }) {
			return fmt.Errorf("request %s of %s was answered by task %s, which no ledger contains", t.request, t.team, t.answer.Task)
		}
	}
	return nil
}

// checkErrorKinds returns an error if a caller got an error of an unlisted kind or of the kind for internal faults, or an error
// with the effect "ran" although no ledger contains the request.
func checkErrorKinds(l ledgers, all []callResult) error {
	known, runs := jaybarrow.Kinds(), l.started()
	for _, t := range all {
		if t.kind == "" {
			continue
		}
		if _, ok := known[t.kind]; !ok || t.kind == jaybarrow.KindInternal {
			return fmt.Errorf("request %s of %s got the error %q: %s", t.request, t.team, t.kind, t.message)
		}
		if t.effect == jaybarrow.EffectRan && len(runs[requestKey{t.team, t.request}]) == 0 {
			return fmt.Errorf("request %s of %s ended with %s, which says that it ran, but no ledger contains it", t.request, t.team, t.kind)
		}
	}
	return nil
}

// checkNotRun returns an error if a request ran although every attempt at it was reported as not run.
func checkNotRun(l ledgers, all []callResult) error {
	mayHaveRun := make(map[requestKey]bool)
	for _, t := range all {
		key := requestKey{t.team, t.request}
		mayHaveRun[key] = mayHaveRun[key] || t.effect != jaybarrow.EffectNotRun
	}
	for key, runs := range l.started() {
		if mayRun, known := mayHaveRun[key]; known && !mayRun {
			return fmt.Errorf("request %s of %s was reported as not run but ran as %+v", key.id, key.team, runs)
		}
	}
	return nil
}

// checkAtMostOnce returns an error if a non-idempotent request was started more than once.
func checkAtMostOnce(l ledgers, all []callResult) error {
	nonIdempotent := make(map[requestKey]bool)
	for _, t := range all {
		if !t.idempotent {
			nonIdempotent[requestKey{t.team, t.request}] = true
		}
	}
	for key, runs := range l.started() {
		if nonIdempotent[key] && len(runs) > 1 {
			return fmt.Errorf("request %s of %s ran %d times: %+v", key.id, key.team, len(runs), runs)
		}
	}
	return nil
}

// checkInvariants runs the checkers of the properties that hold under every fault.
func checkInvariants(l ledgers, all []callResult, limits map[jaybarrow.TeamID]jaybarrow.Slots) error {
	for team, limit := range limits {
		if err := checkLimit(l, team, limit); err != nil {
			return err
		}
	}
	for _, check := range []func(ledgers, []callResult) error{checkAnswers, checkErrorKinds, checkNotRun, checkAtMostOnce} {
		if err := check(l, all); err != nil {
			return err
		}
	}
	return nil
}
