package task

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
)

// verdict is the end of a task as far as it is known.
type verdict struct {
	body []byte
	err  error
}

// verdictOf turns the worker's final word on a task into an answer or an error; false when the word is not final.
func verdictOf(host jaybarrow.Host, outcome Outcome, body []byte) (verdict, bool) {
	switch outcome {
	case OutcomeDone:
		return verdict{body: body}, true
	case OutcomeFailed:
		return verdict{err: jaybarrow.Errorf(jaybarrow.KindWorkerFailed, "%s: %s", host.ID, body)}, true
	case OutcomeRefused:
		return verdict{err: jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "%s: %s", host.ID, body)}, true
	case OutcomeStopped:
		return verdict{err: jaybarrow.Errorf(jaybarrow.KindWorkerLost, "%s stopped the task: %s", host.ID, body)}, true
	case OutcomeCheckpointed:
		resume := jaybarrow.Errorf(jaybarrow.KindHandOver, "%s checkpointed the task", host.ID)
		return verdict{err: resume.WithEffect(jaybarrow.EffectMayHaveRun)}, true
	default:
		return verdict{}, false
	}
}

// lost returns the verdict that the worker was lost, with the effect.
func lost(effect jaybarrow.Effect, format string, args ...any) verdict {
	return verdict{err: jaybarrow.Errorf(jaybarrow.KindWorkerLost, format, args...).WithEffect(effect)}
}

// errConnectionRefused means that the worker refused the connection before it read a request.
var errConnectionRefused = errors.New("the worker refused the connection")

// checkAnswer checks that a response to a start belongs to the task and is a final word on it. A refused connection is
// answered before a task's id is known.
func checkAnswer(id jaybarrow.TaskID, response *fasthttp.Response) error {
	answered, outcome := string(response.Header.Peek(HeaderTask)), Outcome(response.Header.Peek(HeaderOutcome))
	switch {
	case answered == "" && outcome == OutcomeRefused && response.ConnectionClose():
		return errConnectionRefused
	case answered != string(id):
		return fmt.Errorf("the answer is for task %q", answered)
	case outcome != OutcomeRefused && !outcome.ended():
		return fmt.Errorf("the answer's outcome is %q", outcome)
	}
	return nil
}
