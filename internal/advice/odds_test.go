package advice_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/advice"
)

var usual = jaybarrow.AdviceSettings{Decide: 100 * time.Millisecond, Each: 8 * time.Millisecond, Valid: 3 * time.Second}

// Guards against requests that name many workers where one is enough, and against many requests where the policy refuses most workers.
func TestARequestNamesAsManyWorkersAsPay(t *testing.T) {
	odds := func(n int, p float64) []float64 {
		out := make([]float64, n)
		for k := range out {
			out[k] = p
		}
		return out
	}
	for name, c := range map[string]struct {
		settings    jaybarrow.AdviceSettings
		odds        []float64
		needed      int
		all         bool
		least, most int
	}{
		"all are allowed":           {usual, odds(48, 1), 1, false, 1, 1},
		"half are allowed":          {usual, odds(48, 0.5), 1, false, 3, 6},
		"few are allowed":           {usual, odds(48, 0.05), 1, false, 15, 40},
		"several are needed":        {usual, odds(48, 1), 5, false, 5, 5},
		"a gang":                    {usual, odds(48, 0.9), 5, true, 6, 10},
		"more than there are":       {usual, odds(3, 1), 5, false, 3, 3},
		"more than may be named":    {usual, odds(300, 1), 200, false, advice.MaxWorkers, advice.MaxWorkers},
		"names cost nothing":        {jaybarrow.AdviceSettings{Decide: time.Second}, odds(48, 0.5), 1, false, 40, 48},
		"nothing costs anything":    {jaybarrow.AdviceSettings{}, odds(48, 1), 1, false, 48, 48},
		"none":                      {usual, nil, 1, false, 0, 0},
		"the likely ones are first": {usual, append(odds(2, 0.9), odds(40, 0.01)...), 1, false, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			n := advice.Names(c.settings, c.odds, c.needed, c.all)
			assert.Assert(t, n >= c.least && n <= c.most, "%d workers", n)
		})
	}
}

// Guards against odds that ignore the answers, or that no later answer changes.
func TestOddsFollowTheAnswers(t *testing.T) {
	o := advice.NewOdds()
	for n := range 50 {
		for w := range 10 {
			o.Add(jaybarrow.WorkerID(fmt.Sprint(w)), w == 3, true)
		}
		o.AddCall(usual.Time(10), n%2 == 0)
	}
	assert.Assert(t, o.Allowed("3") > 0.9, "%v", o.Allowed("3"))
	assert.Assert(t, o.Allowed("4") < 0.1, "%v", o.Allowed("4"))
	assert.Assert(t, o.Allowed("new") < 0.3, "%v", o.Allowed("new"))
	assert.Assert(t, o.StepTime(usual) > 300*time.Millisecond, "two requests for one that is useful: %v", o.StepTime(usual))
	for range 200 {
		o.Add("4", true, true)
	}
	assert.Assert(t, o.Allowed("4") > 0.9, "%v", o.Allowed("4"))
}
