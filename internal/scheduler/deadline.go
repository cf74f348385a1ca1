package scheduler

import (
	"context"
	"time"
)

// deadlineContext is a context with an earlier deadline, for calls to workers, which take their time limit from it. Unlike that of
// context.WithTimeout the deadline cancels nothing, and so needs no timer of its own, of which there would be thousands a second.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// withDeadline returns ctx with a deadline that is at most limit from now.
func withDeadline(ctx context.Context, limit time.Duration) context.Context {
	deadline := time.Now().Add(limit)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		return ctx
	}
	return deadlineContext{ctx, deadline}
}

// Deadline returns the deadline.
func (c deadlineContext) Deadline() (time.Time, bool) { return c.deadline, true }
