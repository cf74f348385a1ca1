package route

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against an idempotent request that fails in a planned stop because an earlier attempt may have run, and against a
// non-idempotent one that is sent again after it may have run.
func TestMayRetry(t *testing.T) {
	cases := []struct {
		name       string
		kind       jaybarrow.ErrorKind
		effect     jaybarrow.Effect
		idempotent bool
		want       bool
	}{
		{"handed over, not run", jaybarrow.KindHandOver, jaybarrow.EffectNotRun, false, true},
		{"handed over, may have run", jaybarrow.KindHandOver, jaybarrow.EffectMayHaveRun, false, false},
		{"handed over, may have run, idempotent", jaybarrow.KindHandOver, jaybarrow.EffectMayHaveRun, true, true},
		{"stopping, may have run, idempotent", jaybarrow.KindShuttingDown, jaybarrow.EffectMayHaveRun, true, true},
		{"peer lost", jaybarrow.KindPeerLost, jaybarrow.EffectMayHaveRun, false, false},
		{"peer lost, idempotent", jaybarrow.KindPeerLost, jaybarrow.EffectMayHaveRun, true, true},
		{"worker lost, idempotent", jaybarrow.KindWorkerLost, jaybarrow.EffectMayHaveRun, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := jaybarrow.Errorf(c.kind, "ended").WithEffect(c.effect)
			assert.Equal(t, mayRetry(jaybarrow.Request{Idempotent: c.idempotent}, e), c.want)
		})
	}
}
