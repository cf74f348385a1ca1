package journal_test

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/journal"
)

// Guards against a journal that grows without bound, drops its newest decisions, or returns decisions on other subjects.
func TestKeepsTheLatestDecisions(t *testing.T) {
	j := journal.New(jaybarrow.SystemClock{}, 64) // 4 in each shard
	team := jaybarrow.Subject{Kind: jaybarrow.SubjectTeam, ID: "trail"}
	for i := range 10 {
		j.Note(team, "refused", fmt.Sprint(i))
	}
	got := j.About(team)
	assert.Equal(t, len(got), 4)
	for i, e := range got {
		assert.Equal(t, e.Reason, fmt.Sprint(6+i))
	}
	assert.Equal(t, len(j.About(jaybarrow.Subject{Kind: jaybarrow.SubjectPool, ID: "trail"})), 0)
}

// Guards against access without the lock, which the race detector finds, and against lost decisions.
func TestConcurrentNotes(t *testing.T) {
	j := journal.New(jaybarrow.SystemClock{}, 1600)
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			s := jaybarrow.Subject{Kind: jaybarrow.SubjectHost, ID: fmt.Sprint(i)}
			for range 20 {
				j.Note(s, "ejected", "failed")
				j.About(s)
			}
		})
	}
	group.Wait()
	for i := range 4 {
		assert.Equal(t, len(j.About(jaybarrow.Subject{Kind: jaybarrow.SubjectHost, ID: fmt.Sprint(i)})), 20)
	}
}
