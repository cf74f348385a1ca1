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
	answered := callResult{team: "a", request: "r1", echo: "e", effect: jaybarrow.EffectRan, idempotent: true, answer: worker.Done{Request: "r1", Task: "t1", Echo: "e"}}
	withChange := func(change func(*callResult)) []callResult {
		c := answered
		change(&c)
		return []callResult{c}
	}
	startedOnce := ledgers{"h": {run("r1", "t1", 1, 5)}}
	startedTwice := ledgers{"h": {run("r1", "t1", 1, 5)}, "i": {run("r1", "t2", 3, 6)}}
	stillRunning := ledgers{"h": {run("r1", "t1", 1, 0), run("r2", "t2", 3, 6)}}
	cases := []struct {
		name    string
		err     error
		wantErr string
	}{
		{"within the limit", checkLimit(startedTwice, "a", 2), ""},
		{"over the limit", checkLimit(startedTwice, "a", 1), "2 slots ran"},
		{"over the limit by a task without end", checkLimit(stillRunning, "a", 1), "2 slots ran"},
		{"over a lowered limit", checkLimitBetween(startedTwice, "a", 1, 4, 10), "2 slots ran"},
		{"before a limit was lowered", checkLimitBetween(startedTwice, "a", 1, 5, 10), ""},
		{"own answer", checkAnswers(startedOnce, withChange(func(*callResult) {})), ""},
		{"another request's answer", checkAnswers(startedOnce, withChange(func(x *callResult) { x.answer.Request = "r2" })), "got the answer to"},
		{"another body", checkAnswers(startedOnce, withChange(func(x *callResult) { x.answer.Echo = "f" })), "got the answer to"},
		{"answer without a run", checkAnswers(ledgers{}, withChange(func(*callResult) {})), "no ledger has"},
		{"error of the list", checkErrorKinds(startedOnce, withChange(func(x *callResult) { x.kind = jaybarrow.KindWorkerLost })), ""},
		{"error outside the list", checkErrorKinds(startedOnce, withChange(func(x *callResult) { x.kind = "strange" })), "got the error"},
		{"internal error", checkErrorKinds(startedOnce, withChange(func(x *callResult) { x.kind = jaybarrow.KindInternal })), "got the error"},
		{"false ran", checkErrorKinds(ledgers{}, withChange(func(x *callResult) { x.kind = jaybarrow.KindWorkerFailed })), "no ledger has it"},
		{"true not run", checkNotRun(ledgers{}, withChange(func(x *callResult) { x.effect = jaybarrow.EffectNotRun })), ""},
		{"false not run", checkNotRun(startedOnce, withChange(func(x *callResult) { x.effect = jaybarrow.EffectNotRun })), "was told not to have run"},
		{"once", checkAtMostOnce(startedOnce, withChange(func(x *callResult) { x.idempotent = false })), ""},
		{"twice", checkAtMostOnce(startedTwice, withChange(func(x *callResult) { x.idempotent = false })), "ran 2 times"},
		{"idempotent twice", checkAtMostOnce(startedTwice, withChange(func(*callResult) {})), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.wantErr == "" {
				assert.NilError(t, c.err)
				return
			}
			assert.ErrorContains(t, c.err, c.wantErr)
		})
	}
}
