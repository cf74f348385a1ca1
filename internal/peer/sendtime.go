package peer

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/peer/peerpb"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// sendTimes converts the times at which peers sent their states to the local clock.
type sendTimes struct {
	readings *shard.Map[jaybarrow.EntryID, *clockReading]
}

func newSendTimes() sendTimes {
	return sendTimes{readings: shard.New[jaybarrow.EntryID, *clockReading]()}
}

// clockReading is a lower bound of the local time at which a peer sent a state. The peer's clock is its sequence.
type clockReading struct {
	sync.Mutex
	incarnation jaybarrow.Incarnation
	sequence    int64     // milliseconds since the peer started
	local       time.Time // zero before the first reading
}

// since returns a lower bound of the local time at which the peer sent a later state of the incarnation, or false when there is no
// reading of the incarnation. The caller holds the lock.
func (r *clockReading) since(incarnation jaybarrow.Incarnation, sequence int64) (time.Time, bool) {
	if r.local.IsZero() || r.incarnation != incarnation || sequence < r.sequence {
		return time.Time{}, false
	}
	elapsed := float64(milliseconds(sequence - r.sequence))
	return r.local.Add(time.Duration(elapsed * (1 - jaybarrow.ClockRateError))), true
}

// observe records that the peer sent the state at the local time or later. Of two lower bounds it keeps the later one.
func (t sendTimes) observe(s *peerpb.MemberState, local time.Time) {
	r := t.readings.GetOrCreate(jaybarrow.EntryID(s.GetId()), func() *clockReading { return &clockReading{} })
	incarnation := jaybarrow.Incarnation(s.GetIncarnation())
	r.Lock()
	defer r.Unlock()
	if bound, ok := r.since(incarnation, s.GetSequence()); ok && bound.After(local) {
		local = bound
	}
	r.incarnation, r.sequence, r.local = incarnation, s.GetSequence(), local
}

// sentAt returns a local time at which the peer had not yet sent the state that was received at the given time. Before the first
// reading of the peer's clock it is the time of receipt.
func (t sendTimes) sentAt(s *peerpb.MemberState, received time.Time) time.Time {
	r, ok := t.readings.Get(jaybarrow.EntryID(s.GetId()))
	if !ok {
		return received
	}
	r.Lock()
	defer r.Unlock()
	bound, ok := r.since(jaybarrow.Incarnation(s.GetIncarnation()), s.GetSequence())
	if !ok || bound.After(received) {
		return received
	}
	return bound
}

// keep removes the readings of the peers that are not known, since entry hosts are replaced under new ids.
func (t sendTimes) keep(known func(jaybarrow.EntryID) bool) {
	t.readings.Each(func(id jaybarrow.EntryID, _ *clockReading) {
		if !known(id) {
			t.readings.Delete(id)
		}
	})
}
