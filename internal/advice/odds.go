package advice

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// MaxWorkers bounds the workers that one request names.
const MaxWorkers = 100

// Odds is what the earlier answers to a queue's requests say about the next one. It is not safe for concurrent use.
type Odds struct {
	all     tally
	workers map[jaybarrow.WorkerID]*tally
	room    tally // allowed workers that still had room when the answer came
	// spent and useful are the adviser's time and the answers with a usable ticket, older ones weighted less.
	spent  time.Duration
	useful float64
}

// tally counts answers, older ones weighted less.
type tally struct{ yes, all float64 }

const (
	// decay is the weight that an answer keeps with each later one.
	decay = 0.97
	// priorWeight is how many answers the general odds count for beside a worker's own.
	priorWeight = 2
	// priorAllowed and priorRoom are the odds without an answer.
	priorAllowed = 0.5
	priorRoom    = 1
)

func (t *tally) add(yes bool) {
	t.yes, t.all = decay*t.yes, decay*t.all+1
	if yes {
		t.yes++
	}
}

// rate returns the part of the answers that were positive, with a prior that counts for priorWeight answers.
func (t *tally) rate(prior float64) float64 {
	if t == nil {
		return prior
	}
	return (t.yes + priorWeight*prior) / (t.all + priorWeight)
}

// NewOdds returns Odds without an answer.
func NewOdds() *Odds { return &Odds{workers: make(map[jaybarrow.WorkerID]*tally)} }

// Add records whether the adviser has allowed a worker, and whether the worker then still had room.
func (o *Odds) Add(worker jaybarrow.WorkerID, allowed, hasRoom bool) {
	own := o.workers[worker]
	if own == nil {
		own = new(tally)
		o.workers[worker] = own
	}
	own.add(allowed)
	o.all.add(allowed)
	if allowed {
		o.room.add(hasRoom)
	}
}

// AddCall records how long the adviser was busy with a request, and whether a ticket could be used.
func (o *Odds) AddCall(cost time.Duration, useful bool) {
	o.spent, o.useful = time.Duration(decay*float64(o.spent))+cost, decay*o.useful
	if useful {
		o.useful++
	}
}

// Forget drops what is known of a worker.
func (o *Odds) Forget(worker jaybarrow.WorkerID) { delete(o.workers, worker) }

// Allowed returns how probable it is that the adviser allows the worker.
func (o *Odds) Allowed(worker jaybarrow.WorkerID) float64 {
	return o.workers[worker].rate(o.all.rate(priorAllowed))
}

// Room returns how probable it is that a worker with room still has it when the answer comes.
func (o *Odds) Room() float64 { return o.room.rate(priorRoom) }

// StepTime returns the expected time of the adviser for a step. Without an answer it is that of a request which names a few workers.
func (o *Odds) StepTime(s jaybarrow.AdviceSettings) time.Duration {
	const few = 4
	return time.Duration((float64(o.spent) + priorWeight*float64(s.Time(few))) / (o.useful + priorWeight))
}

// StepOdds returns by how much the answers on a step itself lower the odds of its other workers: its policy may differ from that of the queue's
// other steps.
func StepOdds(allowed, refused int) float64 { return float64(1+allowed) / float64(1+allowed+refused) }

// Names returns how many of the workers, which have the odds, a request names: those with which a usable ticket costs the least time of the
// adviser. More than needed tickets are of no use, and with all set fewer are not either.
func Names(s jaybarrow.AdviceSettings, odds []float64, needed int, all bool) int {
	odds = odds[:min(len(odds), MaxWorkers)]
	needed = min(needed, len(odds))
	if needed == 0 {
		return 0
	}
	best, bestCost := len(odds), 0.0
	found := false
	granted := make([]float64, needed+1) // probability of each number of tickets, those above needed counted as needed
	granted[0] = 1
	for n, p := range odds {
		for k := needed; k >= 0; k-- {
			rest := granted[k] * (1 - p)
			if k == needed {
				rest = granted[k]
			}
			if k > 0 {
				rest += granted[k-1] * p
			}
			granted[k] = rest
		}
		worth := granted[needed]
		if !all {
			worth = 0
			for k, probability := range granted {
				worth += float64(k) * probability
			}
		}
		if worth <= 0 {
			continue
		}
		cost := float64(s.Time(n+1)) / worth
		if !found || cost <= bestCost {
			best, bestCost, found = n+1, cost, true
		}
	}
	return best
}
