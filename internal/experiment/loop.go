package experiment

import (
	"time"

	"github.com/jaybarrow/jaybarrow/internal/heap"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at       time.Time
	sequence int
	run      func()
}

// loop runs events in the order of their virtual times.
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

func (l *loop) at(t time.Time, run func()) {
	l.sequence++
	l.events.Push(event{t, l.sequence, run})
}

func (l *loop) after(d time.Duration, run func()) { l.at(l.now.Add(d), run) }

// runUntil runs the events before the end.
func (l *loop) runUntil(end time.Time) {
	for e, ok := l.events.First(); ok && e.at.Before(end); e, ok = l.events.First() {
		l.events.Remove(0)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// elapsed is the virtual time since the start.
func (l *loop) elapsed() time.Duration { return l.now.Sub(epoch) }
