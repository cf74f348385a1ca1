package pool

import (
	"cmp"
	"slices"

	"github.com/jaybarrow/jaybarrow"
)

// HandBack answers up to limit queued requests of the pool with KindHandOver, so that their entry hosts route them again, and
// returns how many it answered. It takes the latest arrivals, because they would wait longest here.
func (s *Scheduler) HandBack(id jaybarrow.PoolID, limit int) int {
	p, ok := s.pools.Get(id)
	if !ok {
		return 0
	}
	queued := p.withdrawLatest(limit)
	for _, w := range queued {
		s.refuse(w, jaybarrow.Errorf(jaybarrow.KindHandOver, "another data centre has free slots"))
	}
	return len(queued)
}

// withdrawLatest removes up to limit requests from the queue, the latest arrivals first.
func (p *poolRuntime) withdrawLatest(limit int) []*waiter {
	p.Lock()
	defer p.Unlock()
	latest := make([]jaybarrow.RequestID, 0, len(p.queued))
	for id := range p.queued {
		latest = append(latest, id)
	}
	slices.SortFunc(latest, func(a, b jaybarrow.RequestID) int {
		return cmp.Or(p.queued[b].request.Arrived.Compare(p.queued[a].request.Arrived), cmp.Compare(a, b))
	})
	var taken []*waiter
	for _, id := range latest[:min(limit, len(latest))] {
		p.state.Withdraw(id)
		taken = append(taken, p.takeQueued(id))
	}
	return taken
}
