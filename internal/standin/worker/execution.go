package worker

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Execution is a started task's run.
type Execution struct {
	worker *Worker
	id     jaybarrow.TaskID
	stop   <-chan struct{}
	speed  <-chan float64
}

// Run lets the task run for the time at full speed; it reports false when the task was ended before.
func (e *Execution) Run(work time.Duration) bool {
	speed, since := 1.0, e.worker.clock.Now()
	timer := time.NewTimer(work)
	defer timer.Stop()
	for {
		select {
		case <-e.stop:
			return false
		case <-timer.C:
			return true
		case next := <-e.speed:
			now := e.worker.clock.Now()
			work -= time.Duration(float64(now.Sub(since)) * speed)
			speed, since = next, now
			timer.Reset(time.Duration(float64(work) / speed))
		}
	}
}
