package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// orderRounds is how often the case is played at most; it ends with the first round that breaks the rule.
const orderRounds = 3

// runOrders lets a service ask for far more than it has, so that many idle machines of another one are ordered to move, while the machines' service
// answers 50 times as slowly as usual. The process that gives the orders gets a SIGTERM after the first of them. In the next round the machines are
// asked for by the service that they have left.
func runOrders(s *installation, trouble bool) (held bool, err error) {
	for round := range orderRounds {
		// The workers are older than any order that a leader has to reckon with.
		time.Sleep(12 * time.Second)
		if err := s.askForMachines(round, trouble); err != nil {
			return false, err
		}
		late := s.cloudOf.lowerAfterHigher()
		for _, o := range late {
			s.note("lower fence after a higher one: %s by %s, fence %d", o.machine, o.holder, o.fence)
		}
		if len(late) > 0 {
			return false, nil
		}
	}
	return true, nil
}

// askForMachines plays one round.
func (s *installation) askForMachines(round int, trouble bool) error {
	if trouble {
		s.note("disruption begins: the machines' service answers 50 times as slowly for 5 s")
		s.cloudOf.setSlowness(50)
		time.AfterFunc(5*time.Second, func() {
			s.cloudOf.setSlowness(1)
			s.note("disruption ends: the machines' service answers as usual")
		})
		time.Sleep(time.Second)
		s.cloudOf.stopFirst()
	}
	name := []string{"desk.example", "yard.example"}[round%2]
	accepted := 0
	for n := range 40 {
		id := fmt.Sprintf("0000000000004%d%02d", round, n)
		status, text := s.hosts[n%len(s.hosts)].callAt(name, "POST", "/match/"+id, `{"spec":"3s","steps":[{"replicas":1,"cpu":60000,"mem_mb":512,"estimate_ms":3000}]}`)
		s.note("POST %s to %s: %d %s", id, name, status, text)
		if status == 200 {
			accepted++
		}
	}
	if accepted < 20 {
		return fmt.Errorf("only %d submissions were accepted", accepted)
	}
	time.Sleep(10 * time.Second)
	return nil
}

// stopFirst stops the process that gives the next order, once.
func (c *cloud) stopFirst() {
	c.lock.Lock()
	defer c.lock.Unlock()
	var once sync.Once
	c.onOrder = func(o machineOrder) {
		once.Do(func() {
			for _, h := range c.site.hosts {
				if h.name == o.holder {
					h.signal(syscall.SIGTERM)
				}
			}
		})
	}
}
