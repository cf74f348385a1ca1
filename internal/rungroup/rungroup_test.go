package rungroup_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// failingProgram makes the test binary run runFailingProgram instead of the tests.
const failingProgram = "JAYBARROW_TEST_FAILING_PROGRAM"

func TestMain(m *testing.M) {
	if kind := os.Getenv(failingProgram); kind != "" {
		runFailingProgram(kind)
	}
	os.Exit(m.Run())
}

// runFailingProgram runs a process whose background part panics while its main goroutine waits for ever.
func runFailingProgram(kind string) {
	var onFault rungroup.Handler
	if kind == "with a log" {
		out := logging.NewBoundedWriter(os.Stdout)
		log, err := logging.New(out, "")
		if err != nil {
			os.Exit(3)
		}
		onFault = rungroup.EndProcess(log, out.Close, func() { os.Exit(1) })
	}
	rungroup.New(onFault).Go("reader", panicInReader)
	select {}
}

func panicInReader() { panic("broken page") }

// recorder is a Handler that records the faults.
type recorder chan rungroup.Fault

func (r recorder) record(f rungroup.Fault) { r <- f }

// Guards against a panic that stays unknown until the group is closed.
func TestAPanicIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults, stop := make(recorder, 1), make(chan struct{})
		g := rungroup.New(faults.record)
		g.Go("healthy", func() { <-stop })
		g.Go("reader", panicInReader)
		synctest.Wait()
		f := <-faults
		assert.Equal(t, f.Part, logging.Part("reader"))
		var fault *rungroup.PanicError
		assert.Assert(t, errors.As(f.Cause, &fault))
		assert.Equal(t, fault.Value, "broken page")
		assert.Assert(t, strings.Contains(f.Stack, "panicInReader"), "the stack does not name the function that panicked:\n%s", f.Stack)
		close(stop)
		var caught panics.Catcher
		caught.Try(g.Wait)
		assert.Assert(t, caught.Recovered() != nil, "Wait did not propagate the panic")
		held, ok := caught.Recovered().Value.(*panics.Recovered)
		assert.Assert(t, ok)
		assert.Equal(t, held.Value, "broken page")
	})
}

// Guards against a report without the value and the stack of a panic that a group within the part has propagated.
func TestAPanicOfAnInnerGroupKeepsItsValueAndStack(t *testing.T) {
	faults := make(recorder, 1)
	rungroup.New(faults.record).Go("reader", func() {
		var pages conc.WaitGroup
		pages.Go(panicInReader)
		pages.Wait()
	})
	f := <-faults
	assert.Error(t, f.Cause, "panic: broken page")
	assert.Assert(t, strings.Contains(f.Stack, "panicInReader"), f.Stack)
}

// Guards against a part that returns while the process needs it, and against a fault that is reported for a part that was stopped.
func TestOnlyAnEarlyEndIsAFault(t *testing.T) {
	broken := errors.New("listener broken")
	cases := []struct {
		name    string
		part    func(ctx context.Context) error
		stopped bool // whether the context ends before the part does
		want    error
	}{
		{"error", func(context.Context) error { return broken }, false, broken},
		{"no error", func(context.Context) error { return nil }, false, nil},
		{"stopped", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, true, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faults := make(recorder, 1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			g := rungroup.New(faults.record)
			g.Keep(ctx, "server", func() error { return c.part(ctx) })
			if c.stopped {
				cancel()
			}
			g.Wait()
			close(faults)
			f, reported := <-faults
			assert.Equal(t, reported, !c.stopped)
			if reported {
				assert.Equal(t, f.Part, logging.Part("server"))
				assert.Assert(t, f.Cause != nil)
			}
			if c.want != nil {
				assert.ErrorIs(t, f.Cause, c.want)
			}
		})
	}
}

// Guards against a term that goes on without one of its parts.
func TestAFaultEndsTheTerm(t *testing.T) {
	var out bytes.Buffer
	var reason string
	rungroup.EndTerm(zerolog.New(&out), func(r string) { reason = r })(rungroup.Fault{Part: "planning", Cause: errors.New("broken")})
	assert.Equal(t, reason, "planning: broken")
	assert.Assert(t, strings.Contains(out.String(), `"failed":"planning"`), out.String())
}

// Guards against a log output that nobody reads and that keeps a failed process alive.
func TestABlockedLogDoesNotKeepTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		exited := false
		rungroup.EndProcess(zerolog.Nop(), func() { <-release }, func() { exited = true })(rungroup.Fault{Part: "reader", Cause: errors.New("broken")})
		assert.Assert(t, exited)
		close(release)
	})
}

// Guards against a process that goes on after a background part has panicked, and against a crash without a log line.
func TestAPanicEndsTheProcess(t *testing.T) {
	for _, kind := range []string{"with a log", "without a handler"} {
		t.Run(kind, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			program := exec.CommandContext(t.Context(), os.Args[0])
			program.Env = append(os.Environ(), failingProgram+"="+kind)
			program.Stdout, program.Stderr = &stdout, &stderr
			var exit *exec.ExitError
			assert.Assert(t, errors.As(program.Run(), &exit), "the process ended without an error")
			if kind == "without a handler" {
				assert.Assert(t, exit.ExitCode() > 0)
				assert.Assert(t, strings.Contains(stderr.String(), "reader: panic: broken page"), stderr.String())
				return
			}
			assert.Equal(t, exit.ExitCode(), 1)
			lines := strings.Split(strings.TrimSpace(stdout.String()), "\n")
			assert.Equal(t, len(lines), 1, stdout.String())
			var line struct{ Level, Failed, Fault, Stack string }
			assert.NilError(t, json.Unmarshal([]byte(lines[0]), &line))
			assert.Equal(t, line.Level, "error")
			assert.Equal(t, line.Failed, "reader")
			assert.Equal(t, line.Fault, "panic: broken page")
			assert.Assert(t, strings.Contains(line.Stack, "panicInReader"))
		})
	}
}
