package rungroup_test

import (
	"context"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// Guards against parts that wait for each other: a pool runs all of them at once, also beyond its size.
func TestAGoroutinePoolNeverWaitsForAFreeGoroutine(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := rungroup.New(nil)
	pool := rungroup.NewGoroutinePool(ctx, group, 2)
	for range 3 {
		var all sync.WaitGroup
		all.Add(8)
		for range 8 {
			pool.Go("part", func() {
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
func TestAGoroutinePoolKeepsItsGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		group := rungroup.New(nil)
		pool := rungroup.NewGoroutinePool(ctx, group, 1)
		seen := make(map[string]bool)
		for range 50 {
			pool.Go("part", func() {
				var stack [64]byte
				seen[strings.Fields(string(stack[:runtime.Stack(stack[:], false)]))[1]] = true
			})
			synctest.Wait()
		}
		cancel()
		group.Wait()
		assert.Equal(t, len(seen), 1)
	})
}

// Guards against a panic that is lost because its part ran in a goroutine of another one.
func TestAPanicOfAPooledPartIsReportedOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	faults := make(chan rungroup.Fault, 4)
	group := rungroup.New(func(f rungroup.Fault) { faults <- f })
	pool := rungroup.NewGoroutinePool(ctx, group, 1)
	pool.Go("first", func() {})
	pool.Go("second", func() { panic("broken") })
	f := <-faults
	assert.Equal(t, string(f.Part), "second")
	cancel()
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		group.Wait()
	}()
	assert.Equal(t, len(faults), 0)
}
