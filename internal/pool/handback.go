package pool

import (
	"cmp"
	"slices"

	"github.com/jaybarrow/jaybarrow"
)

// HandBack answers up to most queued requests of the pool with KindHandOver, so that their entry hosts route them again; it
// returns how many. The latest arrivals go, because they would wait longest here.
func (s *Scheduler) HandBack(id jaybarrow.PoolID, most int) int {
	p, ok := s.pools.Get(id)
	if !ok {
		return 0
	}
	queued := p.takeLatest(most)
	for _, w := range queued {
		s.refuse(w, jaybarrow.Errorf(jaybarrow.KindHandOver, "another data centre has free slots"))
	}
	return len(queued)
}

func (p *poolRun) takeLatest(most int) []*waiter {
	p.Lock()
	defer p.Unlock()
	latest := make([]jaybarrow.RequestID, 0, len(p.waiters))
	for id := range p.waiters {
		latest = append(latest, id)
	}
	slices.SortFunc(latest, func(a, b jaybarrow.RequestID) int {
		return cmp.Or(p.waiters[b].request.Arrived.Compare(p.waiters[a].request.Arrived), cmp.Compare(a, b))
	})
	var taken []*waiter
	for _, id := range latest[:min(most, len(latest))] {
		p.state.Withdraw(id)
		taken = append(taken, p.takeWaiter(id))
	}
	return taken
}
