package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// largeBody returns a scheduled submission of many small steps, due in an hour, a little below the manifest's largest body.
func largeBody(due int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"spec":"1ms","max_runs":1,"start_time_ms":%d,"interval_ms":1000,"steps":[`, due)
	for n := range 900 {
		if n > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"replicas":1,"cpu":100,"mem_mb":64,"estimate_ms":10`)
		if n > 0 {
			fmt.Fprintf(&b, `,"after":[`)
			for k := max(0, n-48); k < n; k++ {
				if k > max(0, n-48) {
					b.WriteByte(',')
				}
				fmt.Fprint(&b, k)
			}
			b.WriteByte(']')
		}
		b.WriteByte('}')
	}
	b.WriteString(`]}`)
	return b.String()
}

type submission struct {
	id       string
	accepted time.Time
}

const (
	retries      = 4
	deadAirPause = 300 * time.Millisecond // of a caller without an answer
	finishTime   = 14 * time.Second       // from the end of the traffic until submissions are asked for
	idleTime     = 3 * time.Second        // for which a submission must not have nothing running
	watchTime    = 20 * time.Second       // after the rule is decided
)

// load is the traffic around the stop of the leading process.
type load struct {
	interval  time.Duration // between two large submissions
	large     int           // submissions before that stop, at most
	afterFull time.Duration // from the first refusal to that stop
	again     time.Duration // from that stop to that of the next leading process; 0 for none
	afterStop time.Duration // until the end of the traffic
}

// runMemory lets callers hand in large submissions until the system refuses them for want of memory. 4 s later it stops the leading process with
// SIGTERM, and the one that leads 6.3 s after that. The traffic stays the same.
func runMemory(s *installation, trouble bool) (held bool, err error) {
	return runLoad(s, trouble, load{
		interval: 33 * time.Millisecond, large: 400, afterFull: 4 * time.Second, again: 6300 * time.Millisecond, afterStop: 5 * time.Second,
	})
}

// runTakeover lets callers hand in 200 large submissions, which the system holds with ease, and stops the leading process with SIGTERM. The traffic goes
// on.
func runTakeover(s *installation, trouble bool) (held bool, err error) {
	return runLoad(s, trouble, load{interval: 33 * time.Millisecond, large: 200, afterStop: 3 * time.Second})
}

// traffic is the callers. Like the platform's, they reach another host with each attempt, and come again as often as retries says: when
// they were told to, or after a pause when there was no answer.
type traffic struct {
	site  *installation
	lock  sync.Mutex
	next  int
	count map[string]int // answers of large submissions
	small []submission   // accepted
	over  bool
}

func (t *traffic) ended() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.over
}

// end ends the traffic; refused callers do not come again.
func (t *traffic) end() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.over = true
}

func (t *traffic) submit(id, body string, isSmall bool) {
	go func() {
		for range 1 + retries {
			if t.ended() {
				return
			}
			t.lock.Lock()
			t.next++
			h := t.site.hosts[t.next%len(t.site.hosts)]
			t.lock.Unlock()
			status, text, again := h.callAgain("desk.example", "POST", "/match/"+id, body)
			if isSmall || status != 200 {
				t.site.note("POST %s at %s: %d %.90s", id, h.name, status, text)
			}
			t.lock.Lock()
			if isSmall && status == 200 {
				t.small = append(t.small, submission{id, time.Now()})
			}
			if !isSmall {
				t.count[fmt.Sprint(status)]++
			}
			t.lock.Unlock()
			switch status {
			case 429, 503:
				time.Sleep(max(again, time.Second))
			case 0, 502, 504:
				time.Sleep(deadAirPause)
			default:
				return
			}
		}
	}()
}

func (t *traffic) refusals() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.count["429"]
}

// runLoad plays the traffic, whose large submissions are due in an hour, and stops the leading process, which is started
// again. Small
// submissions, to be done at once, come from then on. A submission with an occurrence each second is accepted before all others.
func runLoad(s *installation, trouble bool, l load) (held bool, err error) {
	const (
		smallBody = `{"spec":"100ms","steps":[{"replicas":2,"cpu":2000,"mem_mb":64,"estimate_ms":100}]}`
		regularID = "0000000000030000"
	)
	status, text := s.hosts[0].call("POST", "/match/"+regularID, fmt.Sprintf(
		`{"spec":"100ms","max_runs":200,"start_time_ms":%d,"interval_ms":1000,"steps":[{"replicas":1,"cpu":1000,"mem_mb":64,"estimate_ms":100}]}`,
		time.Now().UnixMilli(),
	))
	s.note("POST %s, one work unit each second: %d %s", regularID, status, text)
	if status != 200 {
		return false, fmt.Errorf("the first submission was answered with %d", status)
	}
	body := largeBody(time.Now().Add(time.Hour).UnixMilli())
	s.note("a large submission has %d bytes", len(body))
	t := &traffic{site: s, count: make(map[string]int)}
	var fullAt, stoppedAt time.Time
	for n := 0; ; n++ {
		switch now := time.Now(); {
		case fullAt.IsZero() && (t.refusals() > 0 || n >= l.large):
			fullAt = now
		case !fullAt.IsZero() && stoppedAt.IsZero() && now.Sub(fullAt) >= l.afterFull:
			leader := s.leader()
			if leader == nil {
				return false, fmt.Errorf("nobody leads")
			}
			s.note("answers of large submissions so far: %s; %s leads", t.answers(), leader.name)
			stoppedAt = now
			if trouble {
				leader.signal(syscall.SIGTERM)
			}
		}
		if l.again > 0 && !stoppedAt.IsZero() && time.Since(stoppedAt) >= l.again {
			if leader := s.leader(); leader != nil {
				s.note("answers of large submissions so far: %s; %s leads", t.answers(), leader.name)
				stoppedAt, l.again = time.Now(), 0
				if trouble {
					leader.signal(syscall.SIGTERM)
				}
			}
		}
		if l.again == 0 && !stoppedAt.IsZero() && time.Since(stoppedAt) >= l.afterStop {
			break
		}
		t.submit(fmt.Sprintf("000000000001%04d", n), body, false)
		if !stoppedAt.IsZero() && n%4 == 0 {
			t.submit(fmt.Sprintf("000000000002%04d", n), smallBody, true)
		}
		time.Sleep(l.interval)
	}
	ended := time.Now()
	t.end()
	time.Sleep(finishTime / 2)
	small := t.accepted()
	s.note("the traffic has ended: answers of large submissions %s; %d small ones accepted", t.answers(), len(small))
	time.Sleep(finishTime - time.Since(ended))
	before := s.started(regularID)
	s.note("finish_s after the traffic, small ones not begun: %v; work units of %s begun: %d", s.waiting(small), regularID, before)
	time.Sleep(idleTime)
	left, idle := s.waiting(small), s.started(regularID) == before
	s.note("3 s later, small ones not begun: %v; work units of %s begun: %d", left, regularID, s.started(regularID))
	for n, id := range append(left[:min(3, len(left)):min(3, len(left))], regularID) {
		h := s.hosts[n%len(s.hosts)]
		status, text := h.call("GET", "/match/"+id, "")
		s.note("GET %s at %s: %d %s", id, h.name, status, text)
	}
	held = len(left) == 0 && !idle
	if !held {
		time.Sleep(watchTime)
		s.note("20 s later, small ones not begun: %v; work units of %s begun: %d", s.waiting(small), regularID, s.started(regularID))
	}
	return held, nil
}

// started returns how many work units of the submission have begun.
func (s *installation) started(id string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.runs[id])
}

// answers returns the numbers of answers of large submissions by status.
func (t *traffic) answers() string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return fmt.Sprint(t.count)
}

// accepted returns the small submissions that were accepted.
func (t *traffic) accepted() []submission {
	t.lock.Lock()
	defer t.lock.Unlock()
	return append([]submission(nil), t.small...)
}

// waiting returns the submissions of which no work unit has begun.
func (s *installation) waiting(all []submission) []string {
	var out []string
	for _, one := range all {
		if !s.begun(one.id) {
			out = append(out, one.id)
		}
	}
	return out
}
