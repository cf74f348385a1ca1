package experiment

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against a wrong measure of how far answered work is from the shares: teams are entitled by share up to what they offered,
// and windows in which all work was answered do not count.
func TestOffShare(t *testing.T) {
	type work struct{ answered, lost int } // jobs of one second
	cases := []struct {
		name     string
		a, b     work // of teams with shares 2 and 1
		offShare float64
	}{
		{"nothing was lost", work{3, 0}, work{9, 0}, 0},
		{"answered by share", work{4, 4}, work{2, 4}, 0},
		{"alike", work{3, 3}, work{3, 3}, 100.0 / 6},
		{"one offers less than its share", work{1, 0}, work{5, 4}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := shareWindows{
				shares:  map[jaybarrow.TeamID]jaybarrow.Share{"a": 2, "b": 1},
				windows: make(map[shareWindow]map[jaybarrow.TeamID]*teamWork),
			}
			for team, w := range map[jaybarrow.TeamID]work{"a": c.a, "b": c.b} {
				for i := range w.answered + w.lost {
					s.add("p", time.Second, &job{team: team, run: time.Second}, i < w.answered)
				}
			}
			assert.Assert(t, math.Abs(s.offShare()-c.offShare) < 1e-6, "%v, want %v", s.offShare(), c.offShare)
		})
	}
}
