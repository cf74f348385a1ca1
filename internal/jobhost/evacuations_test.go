package jobhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
	"github.com/jaybarrow/jaybarrow/internal/evacuation"
)

// slowOperators answer calls for changes at the end of their wait, without changes.
type slowOperators struct{ jaybarrow.Operators }

func (slowOperators) Changes(_ context.Context, after jaybarrow.Revision, wait time.Duration) (jaybarrow.OperatorInput, jaybarrow.Revision, error) {
	time.Sleep(wait)
	return jaybarrow.OperatorInput{}, after, nil
}

// Guards against a reading that counts from when its answer arrived: the store may have given the answer any time after the call was sent, and
// acknowledged an evacuation since.
func TestAReadingCountsFromItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Host{catalog: catalog.New(time.Now()), evacuations: evacuation.New(evacuation.Settings{})}
		h.deps.Clock, h.deps.Platform.Operators = jaybarrow.SystemClock{}, slowOperators{}
		s := h.operatorSource(zerolog.Nop())
		age := func() time.Duration {
			out, known := h.evacuations.Age(time.Now())
			assert.Assert(t, known)
			return out
		}
		s.Apply(nil, true, time.Now().Add(-300*time.Millisecond))
		assert.Equal(t, age(), 300*time.Millisecond, "a list counts from the call for its first page")
		updates, _, err := s.Changes(context.Background(), 1, time.Second)
		assert.NilError(t, err)
		s.Apply(updates, false, time.Now())
		assert.Equal(t, age(), time.Second)
	})
}
