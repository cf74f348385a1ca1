package experiment

import (
	"time"

	"github.com/jaybarrow/jaybarrow/internal/heap"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at       time.Time
	sequence int // orders events of the same time
	run      func()
}

// loop is a discrete-event loop: it runs events in the order of their virtual times, and events of the same time in the order in
// which they were added.
type loop struct {
	now      time.Time
	sequence int
	events   *heap.Heap[event]
}

func newLoop() *loop {
	return &loop{now: epoch, events: heap.New(func(a, b event) bool {
		return a.at.Before(b.at) || (a.at.Equal(b.at) && a.sequence < b.sequence)
	}, func(event, int) {})}
}

// at schedules run for the virtual time t.
func (l *loop) at(t time.Time, run func()) {
	l.sequence++
	l.events.Push(event{t, l.sequence, run})
}

// after schedules run for the time d from now.
func (l *loop) after(d time.Duration, run func()) { l.at(l.now.Add(d), run) }

// runUntil runs the events before end, including those that are added meanwhile, and sets the clock to end.
func (l *loop) runUntil(end time.Time) {
	for e, ok := l.events.First(); ok && e.at.Before(end); e, ok = l.events.First() {
		l.events.Remove(0)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// elapsed returns the virtual time since the start of the run.
func (l *loop) elapsed() time.Duration { return l.now.Sub(epoch) }
