package jobhost

import (
	"context"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// forwardedWriteWait is how long a write of another entry host waits until it may use a connection to the store. A quarter of the time that
// the entry host waits for the leader is enough for several turns of a store that answers as usual; after it, the direct way is better.
const forwardedWriteWait = 100 * time.Millisecond

// forwardedWrites bounds the writes that this entry host makes for others. Without a bound they can take all connections to the store, which the
// leader needs for the progress of all jobs.
type forwardedWrites struct {
	clock jaybarrow.Clock
	slots chan struct{} // has a value for each write in progress
}

func newForwardedWrites(clock jaybarrow.Clock, most int) *forwardedWrites {
	return &forwardedWrites{clock: clock, slots: make(chan struct{}, most)}
}

// begin waits for a slot and returns the function that frees it; false when none becomes free in time.
func (f *forwardedWrites) begin(ctx context.Context) (end func(), ok bool) {
	select {
	case f.slots <- struct{}{}:
		return func() { <-f.slots }, true
	default:
	}
	select {
	case f.slots <- struct{}{}:
		return func() { <-f.slots }, true
	case <-ctx.Done():
	case <-f.clock.After(forwardedWriteWait):
	}
	return nil, false
}
