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

// Guards against a configuration that reverts when an older one arrives late.
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

// Guards against a call that reaches another queue than the one with the longest prefix.
func TestTheLongestPrefixWins(t *testing.T) {
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

// Guards against an age that an older confirmation makes higher again.
func TestAgeIsThatOfTheNewestConfirmation(t *testing.T) {
	begin := time.Now()
	c := catalog.New(begin)
	_, known := c.Age(begin)
	assert.Assert(t, !known)
	c.Apply(configuration(1))
	c.Confirm(begin.Add(5 * time.Second))
	c.Confirm(begin.Add(2 * time.Second))
	age, known := c.Age(begin.Add(6 * time.Second))
	assert.Assert(t, known)
	assert.Equal(t, age, time.Second)
}
