package jobhost

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against jobs that are accepted because a leader with too much to do does not answer, and against refusals that outlive their reason.
func TestARefusalStandsWhileTheLeaderIsSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	refused := jaybarrow.Admission{Wait: 8 * time.Second, RetryAfter: 5 * time.Second}
	r := newRefusals()
	_, ok := r.recall("match", now)
	assert.Assert(t, !ok, "without an answer")
	r.record("match", refused, now)
	got, ok := r.recall("match", now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, got.Wait, refused.Wait)
	assert.Equal(t, got.RetryAfter, refused.RetryAfter)
	_, ok = r.recall("other", now)
	assert.Assert(t, !ok, "another queue")
	_, ok = r.recall("match", now.Add(2*refusalMemory))
	assert.Assert(t, !ok, "too old")
	r.record("match", jaybarrow.Admission{Admitted: true}, now.Add(time.Second))
	_, ok = r.recall("match", now.Add(time.Second))
	assert.Assert(t, !ok, "a later job was admitted")
}

// Guards against a team within its share whose jobs are refused, while the leader is silent, since another team's were; and against refusals
// that are kept for teams that are gone.
func TestARefusalStandsForItsTeamOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRefusals()
	large, small := jaybarrow.AdmissionRequest{Queue: "match", Team: "large"}, jaybarrow.AdmissionRequest{Queue: "match", Team: "small"}
	assert.Equal(t, keyOf(large, false), keyOf(small, false), "teams are not weighed")
	r.record(keyOf(large, true), jaybarrow.Admission{Wait: 8 * time.Second}, now)
	_, ok := r.recall(keyOf(large, true), now)
	assert.Assert(t, ok)
	_, ok = r.recall(keyOf(small, true), now)
	assert.Assert(t, !ok)
	r.record(keyOf(small, true), jaybarrow.Admission{Admitted: true}, now.Add(2*refusalMemory))
	assert.Equal(t, r.last.Len(), 0)
}
