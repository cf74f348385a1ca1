// Command standin-2 plays the scripted cases of the second review: it starts the entry hosts as separate processes, stands in for the
// platform, its workers and the callers, and checks one rule.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun means that a case could not be brought about, so that it says nothing about the rule.
var errNotRun = errors.New("the case could not run")

// scenario plays a case on a cluster and returns how the rule was broken; empty when it held.
type scenario func(c *cluster) (broken string, err error)

var scenarios = map[string]scenario{
	"adviser-burst":    adviserBurst,
	"cancelled-before": cancelledBeforeAccepted,
	"cancelled-runs":   cancelledRuns,
	"gang-checkpoints": gangCheckpoints,
	"late-acceptance":  lateAcceptance,
	"long-schedules":   longSchedules,
	"upkeep-at-once":   upkeepAtOnce,
	"waiting":          waitingCount,
	"waves-at-once":    wavesAtOnce,
}

// maxDuration ends a case that hangs.
const maxDuration = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/jaybarrow", "the program under test")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	c, err := newCluster(*program, *record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	type outcome struct {
		broken string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		var o outcome
		defer func() {
			if fault := recover(); fault != nil {
				o = outcome{err: fmt.Errorf("%w: %v", errNotRun, fault)}
			}
			done <- o
		}()
		o.broken, o.err = play(c)
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case o := <-done:
		switch {
		case o.broken != "":
			c.log.conclude("RULE BROKEN: %s", o.broken)
			return exitBroken
		case o.err != nil:
			c.log.conclude("NOT RUN: %v", o.err)
			return exitNotRun
		}
		c.log.conclude("the rule held")
		return exitHeld
	case <-time.After(maxDuration):
		c.log.conclude("NOT RUN: the case takes too long")
	case <-interrupted:
		c.log.conclude("NOT RUN: interrupted")
	}
	return exitNotRun
}
