package catalog_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
)

func configuration(version jaybarrow.ConfigurationVersion, prefixes ...string) *jaybarrow.Configuration {
	c := &jaybarrow.Configuration{Version: version}
	for _, p := range prefixes {
		c.Queues = append(c.Queues, jaybarrow.JobQueue{ID: jaybarrow.QueueID(p), Host: "h", Prefix: p})
	}
	return c
}

// Guards against reverting to an older configuration that arrives late.
func TestVersionsNeverGoBack(t *testing.T) {
	c := catalog.New(time.Now())
	assert.Assert(t, c.Apply(configuration(5, "/a/")))
	assert.Assert(t, !c.Apply(configuration(3, "/b/")))
	assert.Assert(t, !c.Apply(configuration(5, "/b/")))
	_, _, ok := c.Find("h", "/a/x")
	assert.Assert(t, ok)
	assert.Assert(t, c.Apply(configuration(9, "/b/")))
	_, _, ok = c.Find("h", "/a/x")
	assert.Assert(t, !ok)
}

// Guards against a call that reaches a queue other than the one with the longest matching prefix.
func TestLongestPrefixWins(t *testing.T) {
	c := catalog.New(time.Now())
	c.Apply(configuration(1, "/a/", "/a/b/", "/c/"))
	cases := []struct{ host, path, queue, rest string }{
		{"h", "/a/x", "/a/", "x"}, {"h", "/a/b/x", "/a/b/", "x"}, {"h", "/a/b", "/a/", "b"}, {"h", "/d/x", "", ""}, {"other", "/a/x", "", ""},
	}
	for _, tc := range cases {
		q, rest, ok := c.Find(tc.host, tc.path)
		assert.Equal(t, ok, tc.queue != "", tc.path)
		if ok {
			assert.Equal(t, string(q.ID), tc.queue)
			assert.Equal(t, rest, tc.rest)
		}
	}
}

// Guards against an older confirmation that arrives late and raises the age.
func TestOlderConfirmationDoesNotRaiseAge(t *testing.T) {
	start := time.Now()
	c := catalog.New(start)
	_, known := c.Age(start)
	assert.Assert(t, !known)
	c.Apply(configuration(1))
	c.Confirm(start.Add(5 * time.Second))
	c.Confirm(start.Add(2 * time.Second))
	age, known := c.Age(start.Add(6 * time.Second))
	assert.Assert(t, known)
	assert.Equal(t, age, time.Second)
}

// Guards against teams without a share that count for more, or less, than any team that has one.
func TestLeastShareIsTheSmallestConfiguredOne(t *testing.T) {
	c := catalog.New(time.Now())
	assert.Equal(t, c.LeastShare(), jaybarrow.Share(0))
	configured := configuration(1)
	configured.Teams = []jaybarrow.JobTeam{{ID: "a", Share: 3}, {ID: "b"}, {ID: "c", Share: 0.5}, {ID: "d", Share: -1}}
	c.Apply(configured)
	assert.Equal(t, c.LeastShare(), jaybarrow.Share(0.5))
}
