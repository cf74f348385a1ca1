package query

import "context"

// Handler answers one kind of query.
type Handler[In, Out any] interface {
	// Answer reads a snapshot, or returns a jaybarrow.Error.
	Answer(ctx context.Context, in In) (Out, error)
}
