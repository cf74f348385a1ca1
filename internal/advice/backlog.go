package advice

import "time"

// Backlog is the adviser's time for the steps that wait for it, of the queues of one priority.
type Backlog struct {
	Priority int
	InTime   time.Duration // of jobs that can still meet their target
	All      time.Duration
}

// AddBacklog adds the adviser's time for a job to the backlog of its priority and returns the list.
func AddBacklog(list []Backlog, priority int, d time.Duration, inTime bool) []Backlog {
	n := 0
	for n < len(list) && list[n].Priority != priority {
		n++
	}
	if n == len(list) {
		list = append(list, Backlog{Priority: priority})
	}
	list[n].All += d
	if inTime {
		list[n].InTime += d
	}
	return list
}
