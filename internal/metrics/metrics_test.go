package metrics_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/metrics"
)

type fixedClock struct {
	jaybarrow.SystemClock
	now time.Time
}

func (c *fixedClock) Now() time.Time { return c.now }

type vars struct {
	Errors map[string]int64
	Teams  map[string]struct {
		ReceivedSlotSeconds float64
		Classes             map[string]struct {
			WaitedMs, TookMs struct{ Count, P50, Max int64 }
		}
	}
}

func decode(t *testing.T, m *metrics.Metrics) vars {
	t.Helper()
	var v vars
	assert.NilError(t, json.Unmarshal(m.Vars(), &v))
	return v
}

// Guards against output that is not JSON, and against values that are lost because they are outside the range of a histogram.
func TestVars(t *testing.T) {
	m := metrics.New(jaybarrow.SystemClock{}, 10)
	m.Started("trail", jaybarrow.ClassQuick, 20*time.Millisecond)
	m.Answered("trail", jaybarrow.ClassQuick, "", 48*time.Hour)
	m.Answered("trail", jaybarrow.ClassQuick, jaybarrow.KindNoPermit, -time.Second)
	v := decode(t, m)
	assert.Equal(t, v.Errors["noPermit"], int64(1))
	assert.Equal(t, v.Teams["trail"].Classes["quick"].WaitedMs.P50, int64(20))
	assert.Equal(t, v.Teams["trail"].Classes["quick"].TookMs.Count, int64(2))
}

// Guards against slot time that is counted after an hour has passed, or lost when an element of the ring is reused.
func TestReceivedCoversTheLastHour(t *testing.T) {
	c := &fixedClock{now: time.Unix(1_000_000, 0)}
	m := metrics.New(c, 10)
	m.Served("trail", 4, 10*time.Second)
	c.now = c.now.Add(30 * time.Minute)
	m.Served("trail", 1, 5*time.Second)
	assert.Equal(t, m.Received()["trail"], 45.0)
	c.now = c.now.Add(45 * time.Minute)
	assert.Equal(t, m.Received()["trail"], 5.0)
	c.now = c.now.Add(time.Hour)
	m.Served("trail", 1, time.Second)
	assert.Equal(t, m.Received()["trail"], 1.0)
}

// Guards against memory that grows with the number of team names that callers make up, also when goroutines create teams
// concurrently.
func TestTeamsAreBounded(t *testing.T) {
	m := metrics.New(jaybarrow.SystemClock{}, 5)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for i := range 50 {
				m.Started(jaybarrow.TeamID(fmt.Sprint(i)), jaybarrow.ClassSlow, time.Second)
			}
		})
	}
	group.Wait()
	v := decode(t, m)
	assert.Assert(t, len(v.Teams) <= 6, "%d", len(v.Teams))
	total := int64(0)
	for _, team := range v.Teams {
		total += team.Classes["slow"].WaitedMs.Count
	}
	assert.Equal(t, total, int64(200))
}
