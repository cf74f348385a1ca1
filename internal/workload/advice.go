package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/advice"
)

// AdviceRequest is a question to the adviser: which of the workers may run a step.
type AdviceRequest struct {
	Step    jaybarrow.StepRef
	Queue   jaybarrow.QueueID
	Workers []jaybarrow.WorkerID
	Time    time.Duration // that the adviser takes for its decision
	number  int64
	// instances and promised are, for each worker, its instance and the room that the step's tasks would take there.
	instances map[jaybarrow.WorkerID]instanceNumber
	promised  map[jaybarrow.WorkerID]jaybarrow.Resources
}

const (
	// adviceMargin is how long before its expiry a ticket is no longer used, to cover the transfer to the worker and clock drift.
	adviceMargin = 200 * time.Millisecond
	// adviceRestart is how long after its last answer an adviser that has refused every worker is asked again from the start.
	adviceRestart = 10 * time.Second
	// adviceRetry is how long a step waits after a failed request before it is asked about again, so that others come first; it doubles with each
	// further failure up to maxAdviceRetry.
	adviceRetry    = 100 * time.Millisecond
	maxAdviceRetry = 3 * time.Second
)

// stepAdvice is what a step knows of its adviser's decisions. Nothing is known where it is nil.
type stepAdvice struct {
	tickets    map[jaybarrow.WorkerID]ticket         // of the workers that are allowed, also expired ones
	ticketsEnd time.Time                             // when the last of them expires
	refused    map[jaybarrow.WorkerID]instanceNumber // the instances of workers that are not allowed
	underWay   []AdviceRequest
	answeredAt time.Time
	failures   int       // failed requests since the last answer
	retryAt    time.Time // the step is not asked about earlier
	vainPlan   int64     // number of the last plan after which no worker was left to ask about; 0 since the last answer
}

// advising is what a pool knows of its advisers.
type advising struct {
	jobs     []*job // that wait for advice, in the order of the last plan
	plan     int64  // numbers the plans
	requests int64  // number of the last request
	odds     map[jaybarrow.QueueID]*advice.Odds
	promised map[jaybarrow.WorkerID]jaybarrow.Resources // the room that requests under way, and answers since the last plan, will take
	answered []AdviceRequest                            // since the last plan
	backlog  []advice.Backlog
}

func newAdvising() advising {
	return advising{odds: make(map[jaybarrow.QueueID]*advice.Odds), promised: make(map[jaybarrow.WorkerID]jaybarrow.Resources)}
}

// oddsOf returns what the answers to the queue's requests say.
func (a *advising) oddsOf(queue jaybarrow.QueueID) *advice.Odds {
	o := a.odds[queue]
	if o == nil {
		o = advice.NewOdds()
		a.odds[queue] = o
	}
	return o
}

// forget drops what is known of a worker.
func (a *advising) forget(id jaybarrow.WorkerID) {
	for _, o := range a.odds {
		o.Forget(id)
	}
}

// release takes back the room that was promised to a request.
func (a *advising) release(q AdviceRequest) {
	for id, r := range q.promised {
		if left := a.promised[id].Minus(r); left == (jaybarrow.Resources{}) {
			delete(a.promised, id)
		} else {
			a.promised[id] = left
		}
	}
}

// updateAdvising records what waits for advice after a plan. The plan has used the tickets that were given since the last one.
func (p *Pool) updateAdvising(waiting []*job, now time.Time) {
	a := &p.advising
	a.plan++
	for _, q := range a.answered {
		a.release(q)
	}
	a.answered = nil
	a.jobs = a.jobs[:0]
	a.backlog = a.backlog[:0]
	for _, j := range waiting {
		if j.policy.Advice == nil {
			continue
		}
		a.jobs = append(a.jobs, j)
		undecided := 0
		for s := range j.steps() {
			s.advice.forgetOldRefusals(now)
			if s.unassigned > 0 && !s.mayHaveTicket(now) {
				undecided++
			}
		}
		if undecided > 0 && j.order.rank != rankLasting {
			a.backlog = advice.AddBacklog(a.backlog, j.policy.Priority, time.Duration(undecided)*p.adviceTime(j), j.order.rank == rankInTime)
		}
	}
}

// forgetOldRefusals lets a step be asked about from the start when every worker was refused and the last answer is long ago.
func (a *stepAdvice) forgetOldRefusals(now time.Time) {
	if a != nil && a.vainPlan != 0 && len(a.refused) > 0 && now.Sub(a.answeredAt) > adviceRestart {
		clear(a.refused)
		a.vainPlan = 0
	}
}

// adviceTime returns the adviser's expected time for a step of the job.
func (p *Pool) adviceTime(j *job) time.Duration {
	return p.advising.oddsOf(j.spec.Queue).StepTime(*j.policy.Advice)
}

// RequestAdvice returns a request about the step and counts it as under way until HandleAdvice or HandleAdviceFailure; false when there is nothing
// to ask about any more.
func (p *Pool) RequestAdvice(ref jaybarrow.StepRef, now time.Time) (AdviceRequest, bool) {
	j := p.jobs[ref.Job]
	if j == nil || j.state.Ended() || j.policy.Advice == nil {
		return AdviceRequest{}, false
	}
	s := j.step(ref.Occurrence, ref.Step)
	if s == nil || s.unassigned == 0 {
		return AdviceRequest{}, false
	}
	s.initAdvice()
	candidates := p.adviceCandidates(s, now)
	names := p.names(s, candidates)
	if names == 0 {
		return AdviceRequest{}, false
	}
	a := &p.advising
	a.requests++
	q := AdviceRequest{
		Step: ref, Queue: j.spec.Queue, Time: j.policy.Advice.Time(names), number: a.requests,
		instances: make(map[jaybarrow.WorkerID]instanceNumber, names), promised: make(map[jaybarrow.WorkerID]jaybarrow.Resources, names),
	}
	for _, c := range candidates[:names] {
		id := c.worker.entry.ID
		q.Workers = append(q.Workers, id)
		q.instances[id] = c.worker.instance
		q.promised[id] = s.demand().Times(c.tasks)
		a.promised[id] = a.promised[id].Plus(q.promised[id])
	}
	s.advice.underWay = append(s.advice.underWay, q)
	return q, true
}

// adviceCandidate is a worker that a request may name.
type adviceCandidate struct {
	worker   *worker
	tasks    int // how many of the step's tasks it can take
	known    int // 0 when the adviser has allowed it before, 1 when it was not asked
	affinity float64
	onRack   int     // how many of the tasks the candidates of its rack can take together; 0 unless the step is to be on one rack
	allowed  float64 // probability that the adviser allows it
}

// adviceCandidates returns the workers that could take a task of the step if they were allowed, in the order in which a request names them:
// those that the adviser has allowed before, those that suit the task, and those that it probably allows. Workers whose room other requests will
// take are left out if there are others, and so are those that a request under way names.
func (p *Pool) adviceCandidates(s *step, now time.Time) []adviceCandidate {
	var out, taken, named []adviceCandidate // with room of their own, with room that other requests will take, and that are being asked about
	odds := p.advising.oddsOf(s.job.spec.Queue)
	next := s.newTask()
	if len(s.tasks) > 0 {
		next = s.tasks[0]
	}
	for _, w := range p.sortedWorkers() {
		if !w.usable(now, p.settings.ReportGrace) || s.advice.refuses(w) || !p.mayBecomePlaceable(s, w) {
			continue
		}
		c := adviceCandidate{worker: w, known: s.advice.askOrder(w), affinity: p.affinity(next, w, now), allowed: odds.Allowed(w.entry.ID)}
		free := w.free()
		if s.spec.Lasting {
			free = w.entry.Capacity.Minus(w.lastingUsed)
		}
		free = free.Minus(p.advising.promised[w.entry.ID])
		fits := s.fits(w, free)
		c.tasks = max(1, fits)
		switch {
		case s.advice.isAsked(w):
			named = append(named, c)
		case fits > 0:
			out = append(out, c)
		default:
			taken = append(taken, c)
		}
	}
	if len(out) == 0 {
		out = taken
	}
	if len(out) == 0 {
		out = named
	}
	if s.spec.SameRack {
		countByRack(out, s.unassigned)
	}
	slices.SortStableFunc(out, func(a, b adviceCandidate) int {
		return cmp.Or(
			cmp.Compare(a.known, b.known), cmp.Compare(b.affinity, a.affinity),
			cmp.Compare(b.onRack, a.onRack), a.compareRack(b), cmp.Compare(b.allowed, a.allowed), cmp.Compare(b.worker.free().CPU, a.worker.free().CPU),
		)
	})
	return out
}

// countByRack sets how many tasks, of so many, the candidates of each rack can take together.
func countByRack(candidates []adviceCandidate, tasks int) {
	counts := make(map[jaybarrow.RackID]int)
	for _, c := range candidates {
		counts[c.worker.entry.Rack] += c.tasks
	}
	for n := range candidates {
		candidates[n].onRack = min(tasks, counts[candidates[n].worker.entry.Rack])
	}
}

// compareRack keeps the candidates of a rack together where that counts.
func (c adviceCandidate) compareRack(other adviceCandidate) int {
	if c.onRack == 0 {
		return 0
	}
	return cmp.Compare(c.worker.entry.Rack, other.worker.entry.Rack)
}

// fits returns how many of the step's unassigned tasks fit into the free resources of the worker.
func (s *step) fits(w *worker, free jaybarrow.Resources) int {
	n := s.unassigned
	if s.spec.MaxPerWorker > 0 {
		n = min(n, s.spec.MaxPerWorker-w.countRuns(s))
	}
	demand := s.demand()
	for _, part := range [...][2]int64{
		{int64(free.CPU), int64(demand.CPU)}, {int64(free.Memory), int64(demand.Memory)}, {int64(free.Accelerators), int64(demand.Accelerators)},
	} {
		if part[1] > 0 {
			n = min(n, int(max(0, part[0])/part[1]))
		}
	}
	return n
}

// names returns how many of the candidates a request about the step names.
func (p *Pool) names(s *step, candidates []adviceCandidate) int {
	queueOdds := p.advising.oddsOf(s.job.spec.Queue)
	odds := make([]float64, len(candidates))
	own := advice.StepOdds(len(s.advice.tickets), len(s.advice.refused))
	needed, tasks := 0, 0
	for n, c := range candidates {
		odds[n] = c.allowed * own
		if c.known == 0 {
			odds[n] = 1
		}
		if !s.spec.Lasting {
			odds[n] *= queueOdds.Room()
		}
		if tasks < s.unassigned {
			tasks += c.tasks
			needed++
		}
	}
	return advice.Names(*s.job.policy.Advice, odds, needed, s.spec.Gang)
}

// mayBecomePlaceable reports whether a task of the step can be placed on the worker if it is allowed there. Room for lasting tasks is held where
// they have a ticket, so they need none yet.
func (p *Pool) mayBecomePlaceable(s *step, w *worker) bool {
	if s.spec.Lasting {
		return s.demand().FitsIn(w.entry.Capacity.Minus(w.lastingUsed)) && s.allows(w)
	}
	return p.canRun(s, w)
}

// refuses reports whether the adviser has refused the present instance of the worker.
func (a *stepAdvice) refuses(w *worker) bool {
	if a == nil {
		return false
	}
	refused, ok := a.refused[w.entry.ID]
	return ok && refused == w.instance
}

// isAsked reports whether a request under way names the worker.
func (a *stepAdvice) isAsked(w *worker) bool {
	return slices.ContainsFunc(a.underWay, func(q AdviceRequest) bool { return slices.Contains(q.Workers, w.entry.ID) })
}

// askOrder returns 0 for a worker whose present instance was allowed and 1 for one that the adviser was not asked about.
func (a *stepAdvice) askOrder(w *worker) int {
	if t, ok := a.tickets[w.entry.ID]; ok && t.instance == w.instance {
		return 0
	}
	return 1
}

// initAdvice makes room for what the step learns of its adviser's decisions.
func (s *step) initAdvice() {
	if s.advice == nil {
		s.advice = &stepAdvice{tickets: make(map[jaybarrow.WorkerID]ticket), refused: make(map[jaybarrow.WorkerID]instanceNumber)}
	}
}

// HandleAdvice stores an adviser's answer; issued is the earliest time at which it can have been given. If none of the tickets can be used, the
// step is asked about further workers.
func (p *Pool) HandleAdvice(q AdviceRequest, answer jaybarrow.Advice, issued, now time.Time) {
	s := p.endRequest(q)
	if s == nil {
		p.advising.release(q)
		return // its job or its occurrence is done
	}
	p.advising.answered = append(p.advising.answered, q)
	p.placementsDue = true
	a := s.advice
	a.answeredAt, a.failures, a.retryAt, a.vainPlan = now, 0, time.Time{}, 0
	odds, useful := p.advising.oddsOf(q.Queue), false
	for _, id := range q.Workers {
		value, allowed := answer.Tickets[id]
		w := p.workers[id]
		hasRoom := allowed && w != nil && p.mayBecomePlaceable(s, w)
		odds.Add(id, allowed, hasRoom)
		useful = useful || hasRoom
		if !allowed {
			delete(a.tickets, id)
			a.refused[id] = q.instances[id]
			continue
		}
		t := ticket{value: value, instance: q.instances[id], expires: issued.Add(answer.Valid)}
		a.tickets[id] = t
		if t.expires.After(a.ticketsEnd) {
			a.ticketsEnd = t.expires
		}
	}
	odds.AddCall(q.Time, useful)
}

// HandleAdviceFailure records that a request has ended without an answer.
func (p *Pool) HandleAdviceFailure(q AdviceRequest, now time.Time) {
	p.advising.release(q)
	if s := p.endRequest(q); s != nil {
		s.advice.retryAt = now.Add(min(maxAdviceRetry, adviceRetry<<min(s.advice.failures, 10)))
		s.advice.failures++
		p.placementsDue = true
	}
}

// endRequest ends the request and returns its step; nil when its occurrence is done.
func (p *Pool) endRequest(q AdviceRequest) *step {
	j := p.jobs[q.Step.Job]
	if j == nil {
		return nil
	}
	s := j.step(q.Step.Occurrence, q.Step.Step)
	if s == nil || s.advice == nil {
		return nil
	}
	s.advice.underWay = slices.DeleteFunc(s.advice.underWay, func(other AdviceRequest) bool { return other.number == q.number })
	return s
}

// ticketFor returns the step's ticket for a worker; false when the queue requires one and none is usable.
func (s *step) ticketFor(w *worker, now time.Time) (jaybarrow.Ticket, bool) {
	if s.job.policy.Advice == nil {
		return "", true
	}
	if s.advice == nil {
		return "", false
	}
	t, ok := s.advice.tickets[w.entry.ID]
	return t.value, ok && t.instance == w.instance && now.Add(adviceMargin).Before(t.expires)
}

// mayHaveTicket reports whether the step needs no ticket or may have one that is usable.
func (s *step) mayHaveTicket(now time.Time) bool {
	return s.job.policy.Advice == nil || s.advice != nil && now.Add(adviceMargin).Before(s.advice.ticketsEnd)
}
