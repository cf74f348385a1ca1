package rungroup_test

import (
	"context"
	"runtime"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// Guards against parts that wait for each other: a crew runs all of them at once, also beyond its size.
func TestACrewNeverWaitsForAMember(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := rungroup.New(nil)
	crew := rungroup.NewCrew(ctx, group, 2)
	for range 3 {
		var all sync.WaitGroup
		all.Add(8)
		for range 8 {
			crew.Go("part", func() {
				all.Done()
				all.Wait()
			})
		}
		all.Wait()
	}
	cancel()
	group.Wait()
}

// Guards against a new goroutine, whose stack has to grow again, for each part.
func TestACrewKeepsItsGoroutines(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := rungroup.New(nil)
	crew := rungroup.NewCrew(ctx, group, 1)
	seen := make(map[string]bool)
	for range 50 {
		id := make(chan string)
		crew.Go("part", func() {
			var stack [64]byte
			id <- strings.Fields(string(stack[:runtime.Stack(stack[:], false)]))[1]
		})
		seen[<-id] = true
		for range 100 {
			runtime.Gosched()
		}
	}
	cancel()
	group.Wait()
	assert.Assert(t, len(seen) < 25, "%d goroutines for 50 parts", len(seen))
}

// Guards against a panic that is lost because its part ran in a goroutine of another one.
func TestAPanicOfACrewsPartIsReportedOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	faults := make(chan rungroup.Fault, 4)
	group := rungroup.New(func(f rungroup.Fault) { faults <- f })
	crew := rungroup.NewCrew(ctx, group, 1)
	crew.Go("first", func() {})
	crew.Go("second", func() { panic("broken") })
	f := <-faults
	assert.Equal(t, string(f.Part), "second")
	cancel()
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		group.Wait()
	}()
	assert.Equal(t, len(faults), 0)
}
