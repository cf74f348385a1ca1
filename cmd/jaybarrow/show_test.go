package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// Guards against printed results that omit what operators need: phases of drains, entry hosts and loads, and the unchanged body of
// an answer.
func TestShow(t *testing.T) {
	drain := jaybarrow.Drain{Host: "h1", Phase: jaybarrow.PhaseDrained, Purpose: jaybarrow.PurposeHold}
	drains := jaybarrow.PoolDrains{Pool: "desk", Drains: map[jaybarrow.HostID]jaybarrow.Drain{"h1": drain}}
	cases := []struct {
		name  string
		out   any
		parts []string
	}{
		{"drains", []client.Drains{{PoolDrains: drains}}, []string{"h1", "desk", "drained", "hold"}},
		{"draining host", []client.Host{{Host: jaybarrow.Host{ID: "h1"}, Drain: &drain}}, []string{"h1", "drained for hold"}},
		{"entry hosts", []client.EntryHost{{EntryHost: jaybarrow.EntryHost{ID: "e1", Incarnation: 7}}}, []string{"e1", "7"}},
		{"loads", []client.Load{{Pool: "desk", Entry: "e1", Waiting: 12}}, []string{"desk", "e1", "12"}},
		{"answer as it is", client.Answer{Body: []byte("{raw}")}, []string{"{raw}"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var w bytes.Buffer
			assert.NilError(t, printResult(&w, false, c.out))
			for _, part := range c.parts {
				assert.Assert(t, strings.Contains(w.String(), part), "%s", &w)
			}
		})
	}
}
