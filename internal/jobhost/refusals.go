package jobhost

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// refusalMemory is how long the leader's refusal of a job stands for further jobs of the queue while the leader does not answer.
const refusalMemory = 3 * time.Second

// refusals are the leader's last answers on new jobs, by queue. It is safe for concurrent use.
type refusals struct {
	last *shard.Map[jaybarrow.QueueID, lastAnswer]
}

// lastAnswer is an answer of the leader and when it came.
type lastAnswer struct {
	answer jaybarrow.Admission
	at     time.Time
}

func newRefusals() *refusals { return &refusals{last: shard.New[jaybarrow.QueueID, lastAnswer]()} }

// record keeps an answer of the leader.
func (r *refusals) record(queue jaybarrow.QueueID, answer jaybarrow.Admission, now time.Time) {
	r.last.Set(queue, lastAnswer{answer, now})
}

// recall returns the leader's last answer on a job of the queue if that was a refusal and is recent.
func (r *refusals) recall(queue jaybarrow.QueueID, now time.Time) (jaybarrow.Admission, bool) {
	last, ok := r.last.Get(queue)
	if !ok || last.answer.Admitted || now.Sub(last.at) > refusalMemory {
		return jaybarrow.Admission{}, false
	}
	return last.answer, true
}
