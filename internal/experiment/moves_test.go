package experiment

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against a wrong yardstick for nearness to share: work must be entitled by share up to what a team offered, and
// windows in which nothing was lost say nothing.
func TestOffShare(t *testing.T) {
	type work struct{ answered, lost int } // jobs of a second
	cases := []struct {
		name string
		a, b work // shares 2 and 1
		off  float64
	}{
		{"nothing was lost", work{3, 0}, work{9, 0}, 0},
		{"by share", work{4, 4}, work{2, 4}, 0},
		{"alike", work{3, 3}, work{3, 3}, 100.0 / 6},
		{"one offers less than its share", work{1, 0}, work{5, 4}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := shareWindows{
				shares:  map[jaybarrow.TeamID]jaybarrow.Share{"a": 2, "b": 1},
				windows: make(map[shareWindow]map[jaybarrow.TeamID]*answeredWork),
			}
			for team, w := range map[jaybarrow.TeamID]work{"a": c.a, "b": c.b} {
				for i := range w.answered + w.lost {
					s.add("p", time.Second, &job{team: team, run: time.Second}, i < w.answered)
				}
			}
			assert.Assert(t, math.Abs(s.off()-c.off) < 1e-6, "%v, want %v", s.off(), c.off)
		})
	}
}
