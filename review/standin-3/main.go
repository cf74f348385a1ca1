package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// timeLimit bounds a script, which may run for 120 s.
const timeLimit = 115 * time.Second

// cases are the scripted cases by name. Each returns whether the rule held; trouble is false for the run without the disruption.
var cases = map[string]func(s *installation, trouble bool) (held bool, err error){
	"crashloop": runCrashLoop,
	"memory":    runMemory,
	"orders":    runOrders,
	"takeover":  runTakeover,
}

// sizes are the hosts and pools of each case, all with workers of the same capacity.
var sizes = map[string]struct {
	hosts int
	pools []pool
}{
	"crashloop": {3, []pool{{"desk", 9}}},
	"memory":    {5, []pool{{"desk", 9}}},
	"orders":    {3, []pool{{"desk", 4}, {"yard", 24}}},
	"takeover":  {3, []pool{{"desk", 9}}},
}

var workerCapacity = amounts{CPU: 64000, MemMB: 131072}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD, in the root of the repository; TROUBLE=0 leaves the disruption out")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, recordFile string, trouble bool) int {
	record, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer record.Close()
	s, err := newInstallation(record, sizes[name].hosts, sizes[name].pools, workerCapacity)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stop:
		case <-time.After(timeLimit):
			s.note("the case takes too long")
		}
		s.close()
		os.Exit(exitCannot)
	}()
	s.note("case %s, disruption %v", name, trouble)
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitCannot
		}
	}
	if err := s.awaitReady(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	time.Sleep(4 * time.Second) // contact_ms and a little more, in calm
	held, err := cases[name](s, trouble)
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	case held:
		s.note("the rule held")
		return exitHeld
	}
	s.note("the rule was broken")
	return exitBroken
}
