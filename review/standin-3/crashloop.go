package main

import (
	"fmt"
	"strings"
	"time"
)

// runCrashLoop hands in 19 sound submissions and a lasting one whose work units fail as soon as they have started, on a service of nine workers. The
// last sound one is a chain of 40 short steps. It looks for 3 s in which nothing of the chain runs, from finish_s after the end of the traffic.
func runCrashLoop(s *installation, trouble bool) (held bool, err error) {
	post := func(n int, body string) (string, error) {
		id := fmt.Sprintf("00000000000005%02d", n)
		status, text := s.hosts[n%len(s.hosts)].call("POST", "/match/"+id, body)
		s.note("POST %s: %d %s", id, status, text)
		if status != 200 {
			return id, fmt.Errorf("submission %s was answered with %d", id, status)
		}
		return id, nil
	}
	const sound = `{"spec":"100ms","steps":[{"replicas":2,"cpu":1000,"mem_mb":64,"estimate_ms":100}]}`
	for n := range 9 {
		if _, err := post(n, sound); err != nil {
			return false, err
		}
		time.Sleep(150 * time.Millisecond)
	}
	if trouble {
		s.note("disruption: a submission that can never be done")
		if _, err := post(99, `{"spec":"fail","steps":[{"replicas":5,"cpu":2000,"mem_mb":64,"estimate_ms":500,"daemon":true}]}`); err != nil {
			return false, err
		}
	}
	for n := 10; n < 19; n++ {
		if _, err := post(n, sound); err != nil {
			return false, err
		}
		time.Sleep(150 * time.Millisecond)
	}
	steps := make([]string, 40)
	for n := range steps {
		steps[n] = `{"replicas":1,"cpu":1000,"mem_mb":64,"estimate_ms":500`
		if n > 0 {
			steps[n] += fmt.Sprintf(`,"after":[%d]`, n-1)
		}
		steps[n] += "}"
	}
	chain, err := post(19, `{"spec":"500ms","steps":[`+strings.Join(steps, ",")+`]}`)
	if err != nil {
		return false, err
	}
	ended := time.Now()
	time.Sleep(finishTime)
	s.note("finish_s after the traffic: %d of 40 steps have begun", s.started(chain))
	var idleSince time.Time
	var longest time.Duration
	for time.Since(ended) < 45*time.Second && s.finished(chain) < len(steps) {
		switch {
		case s.started(chain) > s.finished(chain):
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		default:
			longest = max(longest, time.Since(idleSince))
		}
		time.Sleep(10 * time.Millisecond)
	}
	status, text := s.hosts[0].call("GET", "/match/"+chain, "")
	s.note("GET %s: %d %s; %d of 40 steps have ended; nothing of it ran for %d ms at most", chain, status, text, s.finished(chain), longest.Milliseconds())
	return longest < idleTime, nil
}

// finished returns how many work units of the submission have ended.
func (s *installation) finished(id string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	n := 0
	for _, r := range s.runs[id] {
		if r.over.Load() {
			n++
		}
	}
	return n
}
