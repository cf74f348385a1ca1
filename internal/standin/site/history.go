package site

import (
	"fmt"
	"slices"
	"time"
)

// History returns a copy of every run so far, in the order of their starts.
func (s *Site) History() []Run {
	workers := s.Workers()
	s.lock.Lock()
	runs := slices.Clone(s.ledger)
	s.lock.Unlock()
	for _, w := range workers {
		w.lock.Lock()
	}
	out := make([]Run, len(runs))
	for i, r := range runs {
		out[i] = *r
	}
	for _, w := range workers {
		w.lock.Unlock()
	}
	slices.SortStableFunc(out, func(a, b Run) int { return a.Began.Compare(b.Began) })
	return out
}

// CheckOnce returns what in the history breaks the promise that a task runs once: two runs of it at one time, or a start after
// an end as done that was acknowledged.
func CheckOnce(history []Run) []string {
	var faults []string
	byTask := make(map[string][]Run)
	for _, r := range history {
		for _, before := range byTask[r.Task] {
			open := before.Ended.IsZero() || before.Ended.After(r.Began)
			switch {
			case open:
				faults = append(faults, fmt.Sprintf("%s: run %d on %s began while run %d on %s was open", r.Task, r.Number, r.Worker, before.Number, before.Worker))
			case before.Outcome == "done" && before.Acknowledged:
				faults = append(faults, fmt.Sprintf("%s: run %d began after run %d was done", r.Task, r.Number, before.Number))
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	return faults
}

// CheckOrder returns the tasks of the job's steps that began before every task of the step before had ended as done.
func CheckOrder(history []Run, job string, widths ...int) []string {
	done := make(map[string]time.Time)
	for _, r := range history {
		if r.Outcome == "done" {
			done[r.Task] = r.Ended
		}
	}
	var faults []string
	for _, r := range history {
		for step := 1; step < len(widths); step++ {
			for index := range widths[step] {
				if r.Task != task(job, step, index) {
					continue
				}
				for before := range widths[step-1] {
					if end, ok := done[task(job, step-1, before)]; !ok || end.After(r.Began) {
						faults = append(faults, fmt.Sprintf("%s began before %s was done", r.Task, task(job, step-1, before)))
					}
				}
			}
		}
	}
	return faults
}
