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

// The shortest time between two relays of the state of the same third entry host to one receiver, by whether that entry host is
// in the data centre of the sender. Within its data centre the ownership of pools depends on the state; other data centres use it
// only to choose where to forward requests that find no slot.
const (
	localRelayInterval  = 900 * time.Millisecond
	remoteRelayInterval = 1900 * time.Millisecond
)

// sentStates is the state of each entry host that was last sent to one receiver.
type sentStates struct {
	sync.Mutex
	byMember map[jaybarrow.EntryID]sentState
}

// sentState is what the sender keeps of a state that it has sent.
type sentState struct {
	incarnation     jaybarrow.Incarnation
	sequence        int64
	details         uint32 // checksum
	ready           bool
	hadStoreContact bool
	sentAt          time.Time
}

func newSentStates() *sentStates { return &sentStates{byMember: make(map[jaybarrow.EntryID]sentState)} }

// isDue reports whether the state is to be sent to the receiver now. A change of Ready or of the contact with the store is
// sent at once, any other change only after the relay interval.
func (ss *sentStates) isDue(now time.Time, s member.State, sameDataCentre bool) bool {
	last, ok := ss.byMember[s.ID]
	minInterval := remoteRelayInterval
	if sameDataCentre {
		minInterval = localRelayInterval
	}
	if !ok || last.ready != s.Ready || last.hadStoreContact != s.HadStoreContact() {
		return true
	}
	return last.sequence != s.Sequence && now.Sub(last.sentAt) >= minInterval
}

// encodeAndRecord returns the state as a message and records it as sent. The message is brief when the receiver already has the
// details.
func (ss *sentStates) encodeAndRecord(now time.Time, s member.State) *peerpb.MemberState {
	m := encodeState(now, s)
	last, ok := ss.byMember[s.ID]
	if ok && last.incarnation == s.Incarnation && last.details == m.Details {
		m.Brief, m.DataCentre, m.PeerAddress, m.Loads = true, "", "", nil
	}
	ss.byMember[s.ID] = sentState{s.Incarnation, s.Sequence, m.Details, s.Ready, s.HadStoreContact(), now}
	return m
}

// detailsChecksum returns a checksum of the fields that a brief state leaves out.
func detailsChecksum(s member.State) uint32 {
	data := append([]byte(s.DataCentre), reportedAddress(s)...)
	for _, id := range slices.SortedFunc(maps.Keys(s.Loads), cmp.Compare[jaybarrow.PoolID]) {
		load := s.Loads[id]
		data = append(data, id...)
		for _, n := range []int{load.Waiting, load.Running, int(load.FreeSlots)} {
			data = binary.AppendVarint(data, int64(n))
		}
	}
	return crc32.ChecksumIEEE(data)
}
