package peer

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/peer/peerpb"
)

// The least time between two tellings of the same third entry host. Its own data centre depends on its state for ownership
// of pools; others only for where to forward work that finds no slot.
const (
	nearTelling = 900 * time.Millisecond
	farTelling  = 1900 * time.Millisecond
)

// told is what one receiver was told of each entry host.
type told struct {
	sync.Mutex
	members map[jaybarrow.EntryID]telling
}

type telling struct {
	incarnation jaybarrow.Incarnation
	sequence    int64
	details     uint32
	ready       bool
	contact     bool // with the store
	at          time.Time
}

func newTold() *told { return &told{members: make(map[jaybarrow.EntryID]telling)} }

// news reports whether the receiver should be told the state now; whether an entry host schedules or has lost the store is
// told at once.
func (t *told) news(now time.Time, s member.State, near bool) bool {
	last, ok := t.members[s.ID]
	pace := farTelling
	if near {
		pace = nearTelling
	}
	if !ok || last.ready != s.Ready || last.contact != s.HadStoreContact() {
		return true
	}
	return last.sequence != s.Sequence && now.Sub(last.at) >= pace
}

// encode returns the state as a message, brief when the receiver knows the details.
func (t *told) encode(now time.Time, s member.State) *peerpb.MemberState {
	m := encodeState(now, s)
	last, ok := t.members[s.ID]
	if ok && last.incarnation == s.Incarnation && last.details == m.Details {
		m.Brief, m.DataCentre, m.PeerAddress, m.Loads = true, "", "", nil
	}
	t.members[s.ID] = telling{s.Incarnation, s.Sequence, m.Details, s.Ready, s.HadStoreContact(), now}
	return m
}

// detailsOf returns a checksum of what a brief state leaves out.
func detailsOf(s member.State) uint32 {
	data := append([]byte(s.DataCentre), toldAddress(s)...)
	for _, id := range slices.SortedFunc(maps.Keys(s.Loads), cmp.Compare[jaybarrow.PoolID]) {
		load := s.Loads[id]
		data = append(data, id...)
		for _, n := range []int{load.Waiting, load.Running, int(load.FreeSlots)} {
			data = binary.AppendVarint(data, int64(n))
		}
	}
	return crc32.ChecksumIEEE(data)
}
