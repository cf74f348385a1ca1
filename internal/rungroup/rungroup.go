package rungroup

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/jaybarrow/jaybarrow/internal/logging"
)

// Fault is the failure of a part.
type Fault struct {
	Part  logging.Part
	Cause error  // a *PanicError after a panic
	Stack string // of the panic; empty when the part returned
}

// PanicError is a panic as an error.
type PanicError struct{ Value any }

// Error returns the value of the panic as text.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// errEndedEarly is the cause of a fault when a part returned without an error before its context ended.
var errEndedEarly = errors.New("the part has ended early")

// Handler reacts to a fault. It is called in the goroutine of the failed part, and by several goroutines at once when several parts
// fail.
type Handler func(Fault)

// Handle calls the handler; a nil Handler crashes the process.
func (h Handler) Handle(f Fault) {
	if h == nil {
		h = crash
	}
	h(f)
}

// Group runs parts in goroutines of their own.
type Group struct {
	group   conc.WaitGroup
	onFault Handler
}

// New returns an empty Group. A nil onFault crashes the process.
func New(onFault Handler) *Group {
	return &Group{onFault: onFault}
}

// Go runs f in a goroutine. A panic of f is reported to the handler at once and propagated by Wait.
func (g *Group) Go(part logging.Part, f func()) {
	g.group.Go(func() { g.guard(part, f) })
}

// guard runs f and reports its panic to the handler before it goes on.
func (g *Group) guard(part logging.Part, f func()) {
	defer func() {
		if value := recover(); value != nil {
			g.onFault.Handle(newPanicFault(part, value))
			panic(value)
		}
	}()
	f()
}

// Keep runs f in a goroutine like Go. A return of f before ctx ends is reported to the handler too.
func (g *Group) Keep(ctx context.Context, part logging.Part, f func() error) {
	g.Go(part, func() {
		err := f()
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = errEndedEarly
		}
		g.onFault.Handle(Fault{Part: part, Cause: err})
	})
}

// newPanicFault returns the fault of a panic; it is called while the goroutine panics. A value that a group of conc has propagated is
// unwrapped, so that the fault has the first value and stack.
func newPanicFault(part logging.Part, value any) Fault {
	stack := debug.Stack()
	for {
		held, ok := value.(*panics.Recovered)
		if !ok {
			return Fault{Part: part, Cause: &PanicError{value}, Stack: string(stack)}
		}
		value, stack = held.Value, held.Stack
	}
}

// Wait blocks until every part has ended and propagates the first panic with its value.
func (g *Group) Wait() { g.group.Wait() }

// crash ends the process with the fault's text and does not return.
func crash(f Fault) {
	go panic(fmt.Sprintf("%s: %v\n%s", f.Part, f.Cause, f.Stack))
	select {}
}
