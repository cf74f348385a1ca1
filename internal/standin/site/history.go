package site

import (
	"fmt"
	"slices"
	"time"
)

// History returns a copy of every run so far, ordered by start.
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

// CheckOnce returns the violations of the guarantee that a task runs once: two overlapping runs of a task, or a run that
// begins after an earlier run was done and its end acknowledged.
func CheckOnce(history []Run) []string {
	var violations []string
	byTask := make(map[string][]Run)
	for _, r := range history {
		for _, previous := range byTask[r.Task] {
			overlaps := previous.Ended.IsZero() || previous.Ended.After(r.Began)
			switch {
			case overlaps:
				violations = append(violations, fmt.Sprintf("%s: run %d on %s began while run %d on %s was running", r.Task, r.Number, r.Worker, previous.Number, previous.Worker))
			case previous.Outcome == "done" && previous.Acknowledged:
				violations = append(violations, fmt.Sprintf("%s: run %d began after run %d was done", r.Task, r.Number, previous.Number))
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	return violations
}

// CheckOrder returns a violation for each task of the job that began before every task of the previous step was done.
// widths are the numbers of tasks of the steps.
func CheckOrder(history []Run, job string, widths ...int) []string {
	done := make(map[string]time.Time)
	for _, r := range history {
		if r.Outcome == "done" {
			done[r.Task] = r.Ended
		}
	}
	var violations []string
	for _, r := range history {
		for step := 1; step < len(widths); step++ {
			for index := range widths[step] {
				if r.Task != taskName(job, step, index) {
					continue
				}
				for previousIndex := range widths[step-1] {
					if end, ok := done[taskName(job, step-1, previousIndex)]; !ok || end.After(r.Began) {
						violations = append(violations, fmt.Sprintf("%s began before %s was done", r.Task, taskName(job, step-1, previousIndex)))
					}
				}
			}
		}
	}
	return violations
}
