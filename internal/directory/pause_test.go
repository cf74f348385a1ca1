package directory_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// pausedClock is the system's clock as a process sees it after a pause.
type pausedClock struct {
	jaybarrow.SystemClock
	paused atomic.Int64 // nanoseconds
}

func (c *pausedClock) Now() time.Time { return time.Now().Add(time.Duration(c.paused.Load())) }

// cutStore answers one list and one watch, whose events before the partition are all that the process ever receives.
type cutStore struct {
	jaybarrow.Store
	watch *bufferedWatch
	calls atomic.Int64
}

func (s *cutStore) List(context.Context, jaybarrow.Key) ([]jaybarrow.Record, jaybarrow.Revision, error) {
	if s.calls.Add(1) > 1 {
		return nil, 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: cut off")
	}
	return nil, 7, nil
}

func (s *cutStore) Watch(context.Context, jaybarrow.Key, jaybarrow.Revision) (jaybarrow.Watch, error) {
	if s.calls.Add(1) > 2 {
		return nil, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: cut off")
	}
	return s.watch, nil
}

// bufferedWatch delivers reports of progress that all arrived before the pause. The process is paused while it waits for the
// first, or after it has received it.
type bufferedWatch struct {
	clock      *pausedClock
	pauseAfter int64 // events received before the pause
	received   atomic.Int64
	closed     chan struct{}
}

const pause = 8 * time.Second

func (w *bufferedWatch) Next() (jaybarrow.WatchEvent, error) {
	n := w.received.Add(1)
	if n > 4 {
		<-w.closed
		return jaybarrow.WatchEvent{}, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "closed")
	}
	if n == w.pauseAfter+1 {
		w.clock.paused.Store(int64(pause))
	}
	return jaybarrow.WatchEvent{Revision: 7}, nil
}

func (w *bufferedWatch) Close() { close(w.closed) }

// Guards against a copy that counts as confirmed after a pause, by events that the store had sent before it.
func TestBufferedEventsConfirmNothing(t *testing.T) {
	for _, pauseAfter := range []int64{0, 1} {
		clock := &pausedClock{}
		watch := &bufferedWatch{clock: clock, pauseAfter: pauseAfter, closed: make(chan struct{})}
		s := &cutStore{watch: watch}
		f := directory.NewFollower(directory.FollowerDeps{
			Clock: clock, Log: zerolog.Nop(), Store: s, Directory: directory.New(), Settings: settings,
		})
		deadline := time.Now().Add(20 * time.Second)
		for s.calls.Load() < 4 && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		age := clock.Now().Sub(f.LastConfirmed())
		f.Close()
		assert.Check(t, age >= pause, "paused after %d events: the copy counts as confirmed %s ago", pauseAfter, age)
	}
}
