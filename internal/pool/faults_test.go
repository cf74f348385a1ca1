package pool_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// failingTask makes the test below run a task that panics instead of starting a process that does.
const failingTask = "JAYBARROW_TEST_FAILING_TASK"

// Guards against a panic of a task that is held back: its caller would wait for ever, even after a cancellation, its slots and permits
// would stay taken, and the scheduler could not be closed.
func TestAPanicOfATaskEndsTheProcess(t *testing.T) {
	if os.Getenv(failingTask) != "" {
		f := newFixture(t, 1, func(context.Context, jaybarrow.HostID, jaybarrow.Task) ([]byte, error) { panic("broken answer") })
		f.await(f.submit(f.request("trail", "r1", 0)))
		return
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var output bytes.Buffer
	program := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestAPanicOfATaskEndsTheProcess$")
	program.Env = append(os.Environ(), failingTask+"=1")
	program.Stdout, program.Stderr = &output, &output
	assert.Assert(t, program.Run() != nil)
	assert.NilError(t, ctx.Err(), "the process goes on")
	assert.Assert(t, strings.Contains(output.String(), "task: panic: broken answer"), output.String())
}
