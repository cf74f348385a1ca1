// Command experiment-permits measures how fast permits follow demand, and how many store writes that takes, with several permit
// keepers and an in-memory store in one process.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	c := config{}
	flag.Uint64Var(&c.seed, "seed", 1, "seed of the demand")
	flag.IntVar(&c.hosts, "hosts", 9, "entry hosts")
	flag.IntVar(&c.limit, "limit", 90, "limit of each team, in slots")
	flag.IntVar(&c.teams, "teams", 1, "teams")
	flag.Float64Var(&c.skew, "skew", 0.8, "part of each team's demand at one entry host")
	flag.Float64Var(&c.load, "load", 0.9, "demand of each team in busy slots, relative to its limit")
	flag.DurationVar(&c.task, "task", 100*time.Millisecond, "mean run time of a task")
	flag.DurationVar(&c.phase, "phase", 5*time.Second, "duration of each measured phase")
	flag.BoolVar(&c.silent, "silent", false, "freeze the store calls of one entry host without demand")
	flag.Parse()
	if c.hosts < 2 || c.limit < 1 || c.teams < 1 || c.task <= 0 || c.phase <= 0 {
		fmt.Fprintln(os.Stderr, "experiment-permits: hosts must be at least 2 and the other values positive")
		os.Exit(2)
	}
	runExperiment(c)
}
