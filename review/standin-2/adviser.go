package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The adviser's times, as the manifest gives them.
const (
	adviserDecideMs = 100
	adviserEachMs   = 8
	adviserValidMs  = 3000
)

// maxAdviserWaiting is the most calls that wait for the adviser.
const maxAdviserWaiting = 32

// adviser stands in for the service that decides which workers may run a step. It allows all of them.
type adviser struct {
	*server
	log     *journal
	turn    sync.Mutex // one call at a time for each calling machine; only the leader calls
	waiting atomic.Int64
	lock    sync.Mutex
	answers int // that reached their caller
	calls   int
}

func newAdviser(log *journal) (*adviser, error) {
	a := &adviser{log: log}
	var err error
	a.server, err = newServer(a)
	return a, err
}

// ServeHTTP answers one call in its turn. A call whose caller has gone is left out.
func (a *adviser) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || r.URL.Path != "/advise" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	a.lock.Lock()
	a.calls++
	a.lock.Unlock()
	if a.waiting.Add(1) > maxAdviserWaiting {
		a.waiting.Add(-1)
		out.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	a.waiting.Add(-1)
	if r.Context().Err() != nil {
		return
	}
	time.Sleep(time.Duration(adviserDecideMs+adviserEachMs*len(in.Workers)) * time.Millisecond)
	if r.Context().Err() != nil {
		return
	}
	good := [][]string{}
	for _, id := range in.Workers {
		good = append(good, []string{id, "ticket-" + id})
	}
	a.lock.Lock()
	a.answers++
	a.lock.Unlock()
	writeJSON(out, http.StatusOK, map[string]any{"good": good, "valid_ms": adviserValidMs})
}

// counts returns how many calls have come and how many were answered.
func (a *adviser) counts() (calls, answers int) {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.calls, a.answers
}
