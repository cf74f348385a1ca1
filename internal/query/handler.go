package query

import "context"

// Handler answers one kind of query.
type Handler[In, Out any] interface {
	// Answer returns a result from a snapshot, or a jaybarrow.Error.
	Answer(ctx context.Context, in In) (Out, error)
}
