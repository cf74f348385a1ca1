package store

import (
	"strings"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Outage says how the stand-in fails every call.
type Outage string

// The outages.
const (
	OutageNone        Outage = ""
	OutageUnavailable Outage = "unavailable" // calls are answered with status 503 before processing
	OutageRefuse      Outage = "refuse"      // connections are refused
	OutageRecords     Outage = "records"     // as unavailable, but the list of hosts and reboots work
	OutageHosts       Outage = "hosts"       // only the list of hosts and reboots are unavailable
)

// Freeze says which watches stay open and deliver nothing; a frozen watch stays frozen until its client closes it.
type Freeze string

// The freezes.
const (
	FreezeNone Freeze = ""
	FreezeOpen Freeze = "open" // the watches that are open when the fault is set
	FreezeAll  Freeze = "all"  // those and all that are opened while the fault is set
)

// LostAnswers says which effective writes lose their answer: the connection is closed after the write.
type LostAnswers struct {
	All    bool          `json:"all,omitempty"`
	Next   int           `json:"next,omitempty"`   // the next so many, when All is not set
	Prefix jaybarrow.Key `json:"prefix,omitempty"` // only writes to keys below it
}

// Faults are all faults that are switched on.
type Faults struct {
	Outage        Outage             `json:"outage,omitempty"`
	DelayMs       int64              `json:"delayMs,omitempty"` // before each call is processed
	LostAnswers   LostAnswers        `json:"lostAnswers,omitempty"`
	FrozenWatches Freeze             `json:"frozenWatches,omitempty"`
	StaleBy       jaybarrow.Revision `json:"staleBy,omitempty"` // ranges are answered from so many revisions ago
}

// fails reports whether calls of the kind fail.
func (f Faults) fails(kind CallKind) bool {
	if kind == CallHosts || kind == CallReboot {
		return f.Outage != OutageNone && f.Outage != OutageRecords
	}
	return f.Outage != OutageNone && f.Outage != OutageHosts
}

// watchNumber numbers the watches in the order in which they were opened.
type watchNumber int64

// switches holds the faults in force.
type switches struct {
	lock         sync.Mutex
	faults       Faults
	nextWatch    watchNumber
	frozenBefore watchNumber
}

func (s *switches) current() Faults {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.faults
}

func (s *switches) set(f Faults) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults = f
	if f.FrozenWatches != FreezeNone {
		s.frozenBefore = s.nextWatch
	}
}

func (s *switches) delay() time.Duration {
	return time.Duration(s.current().DelayMs) * time.Millisecond
}

// losesAnswer reports whether the answer to an effective write of the key is lost, and counts it.
func (s *switches) losesAnswer(key jaybarrow.Key) bool {
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

func (s *switches) openWatch() watchNumber {
	s.lock.Lock()
	defer s.lock.Unlock()
	number := s.nextWatch
	s.nextWatch++
	if s.faults.FrozenWatches == FreezeAll {
		s.frozenBefore = s.nextWatch
	}
	return number
}

func (s *switches) frozen(number watchNumber) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return number < s.frozenBefore
}
