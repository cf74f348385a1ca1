package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// runOrders lets a service ask for far more than it has, so that many idle machines of another one are ordered to move, while the machines' service
// answers 50 times as slowly as usual. The process that gives the orders gets a SIGTERM after the first of them.
func runOrders(s *installation, trouble bool) (held bool, err error) {
	time.Sleep(8 * time.Second) // the workers are older than any order that a leader has to reckon with
	var once sync.Once
	if trouble {
		s.note("disruption begins: the machines' service answers 50 times as slowly for 5 s")
		s.cloudOf.setSlowness(50)
		time.AfterFunc(5*time.Second, func() {
			s.cloudOf.setSlowness(1)
			s.note("disruption ends: the machines' service answers as usual")
		})
		time.Sleep(time.Second)
		s.cloudOf.lock.Lock()
		s.cloudOf.onOrder = func(o machineOrder) {
			once.Do(func() {
				for _, h := range s.hosts {
					if h.name == o.holder {
						h.lock.Lock()
						h.down = time.Second
						h.lock.Unlock()
						h.signal(syscall.SIGTERM)
					}
				}
			})
		}
		s.cloudOf.lock.Unlock()
	}
	accepted := 0
	for n := range 40 {
		id := fmt.Sprintf("00000000000004%02d", n)
		status, text := s.hosts[n%len(s.hosts)].callAt("desk.example", "POST", "/match/"+id, `{"spec":"3s","steps":[{"replicas":1,"cpu":60000,"mem_mb":512,"estimate_ms":3000}]}`)
		s.note("POST %s: %d %s", id, status, text)
		if status == 200 {
			accepted++
		}
	}
	if accepted < 20 {
		return false, fmt.Errorf("only %d submissions were accepted", accepted)
	}
	time.Sleep(10 * time.Second)
	late := s.cloudOf.lowerAfterHigher()
	for _, o := range late {
		s.note("lower fence after a higher one: %s by %s, fence %d", o.machine, o.holder, o.fence)
	}
	return len(late) == 0, nil
}
