package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// runWaiting plays a service of twelve workers of which eleven are full and one, unhealthy for 6.5 s, answers starts with 503. Four submissions are
// handed in meanwhile. It asks each host how many wait once they have been accepted for visible_ms + 2 s.
func runWaiting(s *installation, trouble bool) (held bool, err error) {
	lasting := `{"spec":"last","steps":[{"replicas":11,"cpu":60000,"mem_mb":1024,"estimate_ms":1000,"max_per_server":1,"daemon":true}]}`
	const lastingID = "00000000000000aa"
	status, text := s.hosts[0].call("POST", "/match/"+lastingID, lasting)
	s.note("POST %s, eleven lasting work units: %d %s", lastingID, status, text)
	if status != 200 {
		return false, fmt.Errorf("the lasting submission was answered with %d", status)
	}
	var free *worker
	for end := time.Now().Add(10 * time.Second); free == nil; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return false, fmt.Errorf("the lasting work units did not begin")
		}
		busy := 0
		var idle *worker
		for _, w := range s.workers {
			w.lock.Lock()
			if len(w.running) > 0 {
				busy++
			} else {
				idle = w
			}
			w.lock.Unlock()
		}
		if busy == 11 {
			free = idle
		}
	}
	time.Sleep(time.Second)
	if trouble {
		s.note("disruption begins: %s is unhealthy", free.id)
		free.setUnhealthy(true)
	}
	began := time.Now()
	var ids []string
	for n := range 4 {
		id := fmt.Sprintf("00000000000001%02d", n)
		status, text := s.hosts[n%len(s.hosts)].call("POST", "/match/"+id, `{"spec":"300ms","steps":[{"replicas":2,"cpu":7000,"mem_mb":512,"estimate_ms":300}]}`)
		s.note("POST %s, two work units: %d %s", id, status, text)
		if status == 200 {
			ids = append(ids, id)
		}
	}
	accepted := time.Now()
	if len(ids) < 4 {
		return false, fmt.Errorf("only %d submissions were accepted", len(ids))
	}
	held = true
	for time.Since(began) < 6300*time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		if time.Since(accepted) < 5100*time.Millisecond {
			continue
		}
		for _, h := range s.hosts {
			before := s.notBegun(ids)
			status, text := h.call("GET", "/match/", "")
			after := s.notBegun(ids)
			var out struct {
				Waiting int `json:"waiting"`
			}
			if status != 200 || json.Unmarshal([]byte(text), &out) != nil {
				s.note("GET /match/ at %s: %d %s", h.name, status, text)
				continue
			}
			s.note("GET /match/ at %s: waiting %d; accepted over 5 s before and not begun: %d", h.name, out.Waiting, after)
			if before == after && 2*out.Waiting < after {
				held = false
			}
		}
	}
	free.setUnhealthy(false)
	s.note("disruption ends")
	time.Sleep(2 * time.Second)
	s.note("not begun 2 s later: %d", s.notBegun(ids))
	status, text = s.hosts[0].call("DELETE", "/match/"+lastingID, "")
	s.note("DELETE %s: %d %s", lastingID, status, text)
	return held, nil
}

// notBegun returns how many of the submissions have no work unit that has begun.
func (s *installation) notBegun(ids []string) int {
	n := 0
	for _, id := range ids {
		if !s.begun(id) {
			n++
		}
	}
	return n
}
