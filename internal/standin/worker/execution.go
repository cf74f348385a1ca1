package worker

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Execution is the run of a started task.
type Execution struct {
	worker *Worker
	id     jaybarrow.TaskID
	stop   <-chan struct{}
	speed  <-chan float64
}

// Run blocks until the task has done the work, which is its run time at full speed. It reports false when the task was
// ended before that.
func (e *Execution) Run(work time.Duration) bool {
	speed, changedAt := 1.0, e.worker.clock.Now()
	timer := time.NewTimer(work)
	defer timer.Stop()
	for {
		select {
		case <-e.stop:
			return false
		case <-timer.C:
			return true
		case newSpeed := <-e.speed:
			now := e.worker.clock.Now()
			work -= time.Duration(float64(now.Sub(changedAt)) * speed)
			speed, changedAt = newSpeed, now
			timer.Reset(time.Duration(float64(work) / speed))
		}
	}
}
