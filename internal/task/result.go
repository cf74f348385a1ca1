package task

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
)

// runResult is the answer of a run, or its error with what is known of the task's effect.
type runResult struct {
	body []byte
	err  error
}

// resultOf turns the outcome that the worker reported into an answer or an error. It returns false when the outcome is not
// final.
func resultOf(host jaybarrow.Host, outcome Outcome, body []byte) (runResult, bool) {
	switch outcome {
	case OutcomeDone:
		return runResult{body: body}, true
	case OutcomeFailed:
		return runResult{err: jaybarrow.Errorf(jaybarrow.KindWorkerFailed, "%s: %s", host.ID, body)}, true
	case OutcomeRefused:
		return runResult{err: jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "%s: %s", host.ID, body)}, true
	case OutcomeStopped:
		return runResult{err: jaybarrow.Errorf(jaybarrow.KindWorkerLost, "%s stopped the task: %s", host.ID, body)}, true
	case OutcomeCheckpointed:
		resume := jaybarrow.Errorf(jaybarrow.KindHandOver, "%s checkpointed the task", host.ID)
		return runResult{err: resume.WithEffect(jaybarrow.EffectMayHaveRun)}, true
	default:
		return runResult{}, false
	}
}

// workerLost returns the result of a run whose worker was lost, with the effect.
func workerLost(effect jaybarrow.Effect, format string, args ...any) runResult {
	return runResult{err: jaybarrow.Errorf(jaybarrow.KindWorkerLost, format, args...).WithEffect(effect)}
}

// errConnectionRefused means that the worker refused the connection before it read a request.
var errConnectionRefused = errors.New("the worker refused the connection")

// checkAnswer checks that a response to a start belongs to the task and carries a final outcome. A worker that refuses the
// connection responds before it has read a task id.
func checkAnswer(id jaybarrow.TaskID, response *fasthttp.Response) error {
	answered, outcome := string(response.Header.Peek(HeaderTask)), Outcome(response.Header.Peek(HeaderOutcome))
	switch {
	case answered == "" && outcome == OutcomeRefused && response.ConnectionClose():
		return errConnectionRefused
	case answered != string(id):
		return fmt.Errorf("the response is for task %q", answered)
	case outcome != OutcomeRefused && !outcome.ended():
		return fmt.Errorf("the outcome %q in the response is not final", outcome)
	}
	return nil
}
