package workload

import (
	"encoding/json"
	"slices"

	"github.com/jaybarrow/jaybarrow"
)

// The records of tasks that are listed without a run.
const (
	doneTask = `{"done":true},`
	idleTask = `{},`
)

// taskList is the encoded progress of a job by occurrence, step and index, up to the last task that has begun.
type taskList struct {
	encoded []byte
	idle    int // tasks that have not begun and follow the encoded ones
}

// add appends the record of n tasks, with its comma.
func (l *taskList) add(record string, n int) {
	if n <= 0 {
		return
	}
	l.encoded = slices.Grow(l.encoded, l.idle*len(idleTask)+n*len(record))
	for ; l.idle > 0; l.idle-- {
		l.encoded = append(l.encoded, idleTask...)
	}
	for range n {
		l.encoded = append(l.encoded, record...)
	}
}

// encodeByTasks returns the form that lists every task. It holds a byte string only, since the list of a wide job is long.
func (r JobRecord) encodeByTasks() ([]byte, error) {
	state, err := json.Marshal(r.Record.State)
	if err != nil {
		return nil, err
	}
	var list taskList
	next := jaybarrow.Occurrence(0)
	for _, o := range r.Record.Progress.Open {
		list.addDone(r.ByTasks, int(o.Number-next))
		if err := list.addOccurrence(r.ByTasks, o); err != nil {
			return nil, err
		}
		next = o.Number + 1
	}
	list.addDone(r.ByTasks, int(r.Record.Progress.Next-next))
	out := slices.Concat([]byte(`{"state":`), state)
	if n := len(list.encoded); n > 0 {
		out = slices.Concat(out, []byte(`,"tasks":[`), list.encoded[:n-1], []byte{']'})
	}
	return append(out, '}'), nil
}

// addDone appends occurrences whose tasks are all done.
func (l *taskList) addDone(steps []jaybarrow.Step, occurrences int) {
	for i := range steps {
		l.add(doneTask, steps[i].Tasks*occurrences)
	}
}

// addOccurrence appends an occurrence that is not done.
func (l *taskList) addOccurrence(steps []jaybarrow.Step, o OccurrenceRecord) error {
	listed := o.Tasks
	for i := range steps {
		next, mark := jaybarrow.TaskIndex(0), o.mark(i)
		for ; len(listed) > 0 && listed[0].Step == jaybarrow.StepIndex(i); listed = listed[1:] {
			record, err := json.Marshal(listed[0].TaskRecord)
			if err != nil {
				return err
			}
			l.add(doneTask, int(listed[0].Index-next))
			l.add(string(record)+",", 1)
			next = listed[0].Index + 1
		}
		l.add(doneTask, int(mark-next))
		l.idle += steps[i].Tasks - int(mark)
	}
	return nil
}

// begunLength returns how many records there are up to the last one of a task that has begun.
func begunLength(records []TaskRecord) int {
	n := len(records)
	for n > 0 && records[n-1] == (TaskRecord{}) {
		n--
	}
	return n
}
