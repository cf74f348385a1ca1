package jobhost

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// refusalMemory is how long the leader's refusal of a job stands for further jobs of the queue while the leader does not answer.
const refusalMemory = 3 * time.Second

// refusalKey names what a refusal stands for: a queue, or one team's jobs in it while admission weighs teams.
type refusalKey string

// refusals are the leader's last refusals of new jobs. It is safe for concurrent use.
type refusals struct {
	last *shard.Map[refusalKey, lastAnswer]
	lock sync.Mutex
	// sweptAt is when refusals that stand no more were last forgotten.
	sweptAt time.Time
}

// lastAnswer is an answer of the leader and when it came.
type lastAnswer struct {
	answer jaybarrow.Admission
	at     time.Time
}

func newRefusals() *refusals { return &refusals{last: shard.New[refusalKey, lastAnswer]()} }

// keyOf returns the key for a job. One team's refusal says nothing about the others when each has its part of the pool.
func keyOf(r jaybarrow.AdmissionRequest, byTeam bool) refusalKey {
	if byTeam {
		return refusalKey(string(r.Queue) + "/" + string(r.Team))
	}
	return refusalKey(r.Queue)
}

// record keeps an answer of the leader.
func (r *refusals) record(key refusalKey, answer jaybarrow.Admission, now time.Time) {
	if answer.Admitted {
		r.last.Delete(key)
	} else {
		r.last.Set(key, lastAnswer{answer, now})
	}
	r.sweep(now)
}

// sweep forgets the refusals that stand no more; teams and queues come and go.
func (r *refusals) sweep(now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if now.Sub(r.sweptAt) <= refusalMemory {
		return
	}
	r.sweptAt = now
	r.last.Each(func(key refusalKey, _ lastAnswer) {
		r.last.Update(key, func(last lastAnswer, present bool) (lastAnswer, bool) {
			return last, present && now.Sub(last.at) <= refusalMemory
		})
	})
}

// recall returns the leader's last answer on a job with the key if that was a refusal and is recent.
func (r *refusals) recall(key refusalKey, now time.Time) (jaybarrow.Admission, bool) {
	last, ok := r.last.Get(key)
	if !ok || last.answer.Admitted || now.Sub(last.at) > refusalMemory {
		return jaybarrow.Admission{}, false
	}
	return last.answer, true
}
