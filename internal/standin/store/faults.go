package store

import (
	"strings"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Outage is how the stand-in fails calls.
type Outage string

// The outages.
const (
	OutageNone        Outage = ""
	OutageUnavailable Outage = "unavailable" // every call is answered with status 503 and not processed
	OutageRefuse      Outage = "refuse"      // connections are refused
	OutageRecords     Outage = "records"     // as OutageUnavailable, except for calls that list or reboot hosts
	OutageHosts       Outage = "hosts"       // as OutageUnavailable, only for calls that list or reboot hosts
)

// Freeze selects the watches that stay open and deliver nothing. A frozen watch stays frozen until its client closes it.
type Freeze string

// The selections of frozen watches.
const (
	FreezeNone Freeze = ""
	FreezeOpen Freeze = "open" // watches that are open when the fault is set
	FreezeAll  Freeze = "all"  // these and watches that are opened while the fault is set
)

// LostAnswers selects the successful writes whose answer is lost, because the connection is closed after the write.
type LostAnswers struct {
	All    bool          `json:"all,omitempty"`
	Next   int           `json:"next,omitempty"`   // number of writes, unless All is set
	Prefix jaybarrow.Key `json:"prefix,omitempty"` // only writes to keys with this prefix
}

// Faults are the faults of a Server.
type Faults struct {
	Outage        Outage             `json:"outage,omitempty"`
	DelayMs       int64              `json:"delayMs,omitempty"` // before each call is processed
	LostAnswers   LostAnswers        `json:"lostAnswers,omitempty"`
	FrozenWatches Freeze             `json:"frozenWatches,omitempty"`
	StaleBy       jaybarrow.Revision `json:"staleBy,omitempty"` // number of revisions by which reads of ranges lag
}

// fails reports whether the outage fails calls of the kind.
func (f Faults) fails(kind CallKind) bool {
	if kind == CallHosts || kind == CallReboot {
		return f.Outage != OutageNone && f.Outage != OutageRecords
	}
	return f.Outage != OutageNone && f.Outage != OutageHosts
}

// watchNumber is the sequence number of a watch, in the order of opening.
type watchNumber int64

// activeFaults holds the current faults of a Server and the numbers of its frozen watches.
type activeFaults struct {
	lock         sync.Mutex
	faults       Faults
	nextWatch    watchNumber
	frozenBefore watchNumber // watches with a lower number are frozen
}

func (s *activeFaults) current() Faults {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.faults
}

func (s *activeFaults) set(f Faults) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults = f
	if f.FrozenWatches != FreezeNone {
		s.frozenBefore = s.nextWatch
	}
}

func (s *activeFaults) delay() time.Duration {
	return time.Duration(s.current().DelayMs) * time.Millisecond
}

// losesAnswer reports whether the answer to a successful write of the key is lost, and counts that answer.
func (s *activeFaults) losesAnswer(key jaybarrow.Key) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	lost := &s.faults.LostAnswers
	if !strings.HasPrefix(string(key), string(lost.Prefix)) {
		return false
	}
	if lost.All {
		return true
	}
	if lost.Next == 0 {
		return false
	}
	lost.Next--
	return true
}

func (s *activeFaults) registerWatch() watchNumber {
	s.lock.Lock()
	defer s.lock.Unlock()
	number := s.nextWatch
	s.nextWatch++
	if s.faults.FrozenWatches == FreezeAll {
		s.frozenBefore = s.nextWatch
	}
	return number
}

func (s *activeFaults) frozen(number watchNumber) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return number < s.frozenBefore
}
