package mover_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/mover"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// Guards against an entry host that drives the moves of its data centre, but has stopped to decide on them after a panic.
func TestAPanicOfTheMoverIsReported(t *testing.T) {
	faults := make(chan rungroup.Fault, 1)
	mover.New(mover.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Directory: directory.New(), DataCentre: "north",
		Loads: func() []mover.Load { panic("broken loads") }, Settings: mover.DefaultSettings(),
		OnFault: func(f rungroup.Fault) { faults <- f },
	})
	select {
	case f := <-faults:
		assert.Equal(t, f.Part, logging.Part("mover"))
		assert.Error(t, f.Cause, "panic: broken loads")
	case <-time.After(5 * time.Second):
		t.Error("no fault was reported")
	}
}
