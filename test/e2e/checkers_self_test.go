package e2e

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

// Guards against checkers that accept a history which violates the property they check.
func TestCheckersFindViolations(t *testing.T) {
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
		{"over the limit with a task that has not ended", checkLimit(stillRunning, "a", 1), "2 slots ran"},
		{"over a lowered limit", checkLimitBetween(startedTwice, "a", 1, 4, 10), "2 slots ran"},
		{"before a limit was lowered", checkLimitBetween(startedTwice, "a", 1, 5, 10), ""},
		{"answer to the request", checkAnswers(startedOnce, withChange(func(*callResult) {})), ""},
		{"answer to another request", checkAnswers(startedOnce, withChange(func(x *callResult) { x.answer.Request = "r2" })), "got the answer to"},
		{"answer with another body", checkAnswers(startedOnce, withChange(func(x *callResult) { x.answer.Echo = "f" })), "got the answer to"},
		{"answer without a ledger entry", checkAnswers(ledgers{}, withChange(func(*callResult) {})), "no ledger contains"},
		{"listed error kind", checkErrorKinds(startedOnce, withChange(func(x *callResult) { x.kind = jaybarrow.KindWorkerLost })), ""},
		{"unlisted error kind", checkErrorKinds(startedOnce, withChange(func(x *callResult) { x.kind = "strange" })), "got the error"},
		{"internal error kind", checkErrorKinds(startedOnce, withChange(func(x *callResult) { x.kind = jaybarrow.KindInternal })), "got the error"},
		{"reported as run but not in a ledger", checkErrorKinds(ledgers{}, withChange(func(x *callResult) { x.kind = jaybarrow.KindWorkerFailed })), "no ledger contains it"},
		{"reported as not run and not in a ledger", checkNotRun(ledgers{}, withChange(func(x *callResult) { x.effect = jaybarrow.EffectNotRun })), ""},
		{"reported as not run but in a ledger", checkNotRun(startedOnce, withChange(func(x *callResult) { x.effect = jaybarrow.EffectNotRun })), "was reported as not run"},
		{"once", checkAtMostOnce(startedOnce, withChange(func(x *callResult) { x.idempotent = false })), ""},
		{"twice", checkAtMostOnce(startedTwice, withChange(func(x *callResult) { x.idempotent = false })), "ran 2 times"},
		{"twice but idempotent", checkAtMostOnce(startedTwice, withChange(func(*callResult) {})), ""},
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
