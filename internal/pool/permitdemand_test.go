package pool_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against a reported demand for permits that covers one pool only, exceeds what the free slots can use, or remains after
// the work has started.
func TestWaitingSlotsAreReported(t *testing.T) {
	f := newFixture(t, 2, echo)
	defer f.scheduler.Close()
	f.permits.setLimit("a", 0)
	var answers []<-chan answer
	for _, r := range []struct {
		pool jaybarrow.PoolID
		id   string
	}{{"p", "1"}, {"p", "2"}, {"p", "3"}, {"other", "4"}} {
		request := f.request("a", r.id, 0)
		request.Pool = r.pool
		answers = append(answers, f.submit(request))
	}
	f.eventually("two slots of p and one of the other pool wait", func() bool { return f.permits.waitingOf("a") == 3 })
	f.permits.setLimit("a", 4)
	for _, a := range answers {
		assert.NilError(t, f.await(a).err)
	}
	f.eventually("no work waits for permits", func() bool { return f.permits.waitingOf("a") == 0 })
}
