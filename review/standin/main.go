// Command standin plays the cases of the review: it serves the platform, the workers and the clients on loopback addresses, and starts
// the project's program as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// cannotRun ends a case that could not be played.
func cannotRun(b *bench, format string, args ...any) {
	b.log("the case cannot run: "+format, args...)
	b.close()
	os.Exit(exitInvalid)
}

// longest bounds a case; it ends as one that could not run.
const longest = 117 * time.Second

func main() {
	runtime.LockOSThread() // the processes that it starts end with its thread
	cases := map[string]func(*bench, bool) bool{
		"manifest": lateManifest, "cap": lastingBeyondCap, "advice": addedWorkers, "restart": darkRestart, "wave": wholeService,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitInvalid)
	}
	b, err := newBench(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalid)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-signals:
			cannotRun(b, "stopped by the signal %v", s)
		case <-time.After(longest):
			cannotRun(b, "it takes too long")
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	b.log("case %s, trouble %v", os.Args[1], trouble)
	held := cases[os.Args[1]](b, trouble)
	b.log("the rule held: %v", held)
	b.close()
	if !held {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// begin starts the workers and the hosts and waits until a first submission is served.
func (b *bench) begin(hosts, workers int, queues []queue, caps map[string]int64, key string) {
	b.putManifest(queues, caps)
	for range workers {
		b.addWorker(queues[0].service)
	}
	b.startHosts(hosts)
	id := "00000000000000aa"
	q := queues[0]
	if !b.submit(id, q.path, key, work{Ms: 200}, []step{{Replicas: 2, CPU: 1000, Mem: 256, Estimate: 200}}, 15*time.Second) {
		cannotRun(b, "the first submission is not accepted")
	}
	if s := b.await(id, q.path, key, 15*time.Second, "completed"); s != "completed" {
		cannotRun(b, "the first submission is not completed")
	}
}
