package e2e

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

// ledgers are the ledgers of all workers.
type ledgers map[jaybarrow.HostID][]worker.Entry

type requestKey struct {
	team jaybarrow.TeamID
	id   jaybarrow.RequestID
}

// started returns the tasks that ran, in part or whole, by request.
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

// checkLimit finds a moment at which more slots of the team ran than its limit.
func checkLimit(l ledgers, team jaybarrow.TeamID, limit jaybarrow.Slots) error {
	return checkLimitBetween(l, team, limit, 0, math.MaxInt64)
}

// checkLimitBetween finds a moment in the interval, in nanoseconds of the wall clock, at which more slots of the team ran
// than the limit.
func checkLimitBetween(l ledgers, team jaybarrow.TeamID, limit jaybarrow.Slots, from, until int64) error {
	type change struct {
		atNs  int64
		slots jaybarrow.Slots
	}
	var changes []change
	for _, entries := range l {
		for _, e := range entries {
			if e.Team != team || e.StartedNs == 0 {
				continue
			}
			if e.StartedNs > until || (e.EndedNs != 0 && e.EndedNs <= from) {
				continue
			}
			changes = append(changes, change{max(from, e.StartedNs), e.Slots})
			if e.EndedNs != 0 {
				changes = append(changes, change{e.EndedNs, -e.Slots})
			}
		}
	}
	// A task that ends in the same nanosecond as another starts has ended first.
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(cmp.Compare(a.atNs, b.atNs), cmp.Compare(a.slots, b.slots)) })
	running := jaybarrow.Slots(0)
	for _, s := range changes {
		if running += s.slots; running > limit {
			return fmt.Errorf("team %s: %d slots ran at %d ns, limit %d", team, running, s.atNs, limit)
		}
	}
	return nil
}

// checkAnswers finds an answer that is not the one to its own request, or that no worker gave.
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
			return fmt.Errorf("request %s of %s was answered by task %s, which no ledger has", t.request, t.team, t.answer.Task)
		}
	}
	return nil
}

// checkKinds finds an error that is not of the closed list, or that stands for a fault in the system itself, and an error that
// says that the request ran when no ledger has it.
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
			return fmt.Errorf("request %s of %s was told to have run with %s, no ledger has it", t.request, t.team, t.kind)
		}
	}
	return nil
}

// checkNotRun finds a request that ran although every caller of it was told that it did not.
func checkNotRun(l ledgers, all []callResult) error {
	mayHaveRun := make(map[requestKey]bool)
	for _, t := range all {
		key := requestKey{t.team, t.request}
		mayHaveRun[key] = mayHaveRun[key] || t.effect != jaybarrow.EffectNotRun
	}
	for key, runs := range l.started() {
		if mayRun, known := mayHaveRun[key]; known && !mayRun {
			return fmt.Errorf("request %s of %s was told not to have run and ran as %+v", key.id, key.team, runs)
		}
	}
	return nil
}

// checkOnce finds a non-idempotent request that was started twice.
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

// checkAll runs every checker that holds whatever fails.
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
