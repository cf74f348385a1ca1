package e2e

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

// Guards against checkers that pass a history that breaks the promise.
func TestCheckersFindBrokenPromises(t *testing.T) {
	run := func(request, task string, start, end int64) worker.Entry {
		return worker.Entry{
			Team: "a", Request: jaybarrow.RequestID(request), Task: jaybarrow.TaskID(task), Slots: 1, StartedNs: start, EndedNs: end,
		}
	}
	answered := told{team: "a", request: "r1", echo: "e", effect: jaybarrow.EffectRan, idempotent: true, answer: worker.Done{Request: "r1", Task: "t1", Echo: "e"}}
	with := func(change func(*told)) []told {
		c := answered
		change(&c)
		return []told{c}
	}
	one := ledgers{"h": {run("r1", "t1", 1, 5)}}
	two := ledgers{"h": {run("r1", "t1", 1, 5)}, "i": {run("r1", "t2", 3, 6)}}
	running := ledgers{"h": {run("r1", "t1", 1, 0), run("r2", "t2", 3, 6)}}
	cases := []struct {
		name  string
		err   error
		broke string
	}{
		{"within the limit", checkLimit(two, "a", 2), ""},
		{"over the limit", checkLimit(two, "a", 1), "2 slots ran"},
		{"over the limit by a task without end", checkLimit(running, "a", 1), "2 slots ran"},
		{"over a lowered limit", checkLimitBetween(two, "a", 1, 4, 10), "2 slots ran"},
		{"before a limit was lowered", checkLimitBetween(two, "a", 1, 5, 10), ""},
		{"own answer", checkAnswers(one, with(func(*told) {})), ""},
		{"another request's answer", checkAnswers(one, with(func(x *told) { x.answer.Request = "r2" })), "got the answer to"},
		{"another body", checkAnswers(one, with(func(x *told) { x.answer.Echo = "f" })), "got the answer to"},
		{"answer without a run", checkAnswers(ledgers{}, with(func(*told) {})), "no ledger has"},
		{"error of the list", checkKinds(one, with(func(x *told) { x.kind = jaybarrow.KindWorkerLost })), ""},
		{"error outside the list", checkKinds(one, with(func(x *told) { x.kind = "strange" })), "got the error"},
		{"internal error", checkKinds(one, with(func(x *told) { x.kind = jaybarrow.KindInternal })), "got the error"},
		{"false ran", checkKinds(ledgers{}, with(func(x *told) { x.kind = jaybarrow.KindWorkerFailed })), "no ledger has it"},
		{"true not run", checkNotRun(ledgers{}, with(func(x *told) { x.effect = jaybarrow.EffectNotRun })), ""},
		{"false not run", checkNotRun(one, with(func(x *told) { x.effect = jaybarrow.EffectNotRun })), "was told not to have run"},
		{"once", checkOnce(one, with(func(x *told) { x.idempotent = false })), ""},
		{"twice", checkOnce(two, with(func(x *told) { x.idempotent = false })), "ran 2 times"},
		{"idempotent twice", checkOnce(two, with(func(*told) {})), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.broke == "" {
				assert.NilError(t, c.err)
				return
			}
			assert.ErrorContains(t, c.err, c.broke)
		})
	}
}
