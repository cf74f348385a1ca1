package command

import "context"

// Handler carries out one kind of command.
type Handler[In, Out any] interface {
	// Handle changes state and returns an id or a revision, or a jaybarrow.Error.
	Handle(ctx context.Context, in In) (Out, error)
}
