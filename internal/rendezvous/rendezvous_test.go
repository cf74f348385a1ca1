package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaybarrow/jaybarrow/internal/rendezvous"
)

// Guards against keys that change owner although their own owner is still a candidate.
func TestOwnerMovesOnlyFromTheCandidateThatLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 20).Draw(t, "candidates")
		candidates := make([]string, count)
		for i := range candidates {
			candidates[i] = fmt.Sprintf("entry-%d", i)
		}
		left := rapid.SampledFrom(candidates).Draw(t, "left")
		rest := slices.DeleteFunc(slices.Clone(candidates), func(c string) bool { return c == left })
		key := rapid.String().Draw(t, "key")
		before, _ := rendezvous.Owner(key, candidates)
		after, _ := rendezvous.Owner(key, rest)
		if before != left && before != after {
			t.Fatalf("owner of %q moved from %s to %s although %s left", key, before, after, left)
		}
	})
}

// Guards against reporting an owner when there are no candidates.
func TestNoOwnerWithoutCandidates(t *testing.T) {
	_, ok := rendezvous.Owner("key", []string{})
	assert.Assert(t, !ok)
}
