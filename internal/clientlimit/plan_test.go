package clientlimit_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/clientlimit"
)

// Guards against limits that together exceed a machine, that leave the process no descriptors for its own calls, or that a single client
// inside the limits reaches.
func TestThePlanFitsTheMachine(t *testing.T) {
	const largestBody = 262_144
	for _, m := range []clientlimit.Machine{{184 << 20, 4100}, {184 << 20, 8192}, {536 << 20, 4100}, {536 << 20, 8192}, {184 << 20, 1000}, {}, {16 << 30, 1 << 20}} {
		l := clientlimit.Plan(m)
		if m.Memory == 0 {
			m = clientlimit.Machine{Memory: 256 << 20, Descriptors: 4096}
		}
		connections := l.Callers + l.Balancer + l.Metrics + l.Peers
		assert.Assert(t, connections <= (m.Descriptors-200)/2+l.Metrics, "%d connections of %+v", connections, m)
		held := l.Bodies + l.Messages + l.Answers + budget.Bytes(l.Callers)*40<<10
		assert.Assert(t, held <= m.Memory*11/20, "%d MB of %+v", held>>20, m)
		peers := budget.Bytes(l.Peers) * 64 << 10
		assert.Assert(t, peers <= m.Memory/16 && held+peers <= m.Memory*61/100, "%d MB and %d MB for peers of %+v", held>>20, peers>>20, m)
		assert.Assert(t, l.Peers >= 32, "%+v", l)
		assert.Assert(t, l.Bodies >= 16*largestBody && l.Callers >= 100 && l.Calls >= 1000, "%+v", l)
	}
}
