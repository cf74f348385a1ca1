package jaybarrow

import "strings"

// Prefix is the common prefix of the system's records, except claims, leases and jobs.
const Prefix Key = "/jaybarrow/"

// The prefixes of each kind of record below Prefix.
const (
	TeamPrefix      = Prefix + "config/team/"
	AccessKeyPrefix = Prefix + "config/key/"
	PoolPrefix      = Prefix + "config/pool/"
	QueuePrefix     = Prefix + "config/queue/"
	HostPrefix      = Prefix + "host/"
	DrainPrefix     = Prefix + "drain/"
	AllotmentPrefix = Prefix + "permit/"
	EntryPrefix     = Prefix + "entry/"
)

// ClaimPrefix holds the claims of requests; it is outside Prefix so that claims do not reach the watches of the configuration.
const ClaimPrefix Key = "/jaybarrow-claim/"

// LeasePrefix holds short-lived leases, such as a maintenance driver's; it is outside Prefix for the same reason.
const LeasePrefix Key = "/jaybarrow-lease/"

// TeamKey returns the key of a team's record.
func TeamKey(id TeamID) Key { return TeamPrefix + Key(id) }

// AccessKeyKey returns the key of an access key's record.
func AccessKeyKey(hash KeyHash) Key { return AccessKeyPrefix + Key(hash) }

// PoolKey returns the key of a pool's record.
func PoolKey(id PoolID) Key { return PoolPrefix + Key(id) }

// QueueKey returns the key of a queue's record.
func QueueKey(id QueueID) Key { return QueuePrefix + Key(id) }

// HostKey returns the key of a host's record.
func HostKey(id HostID) Key { return HostPrefix + Key(id) }

// DrainKey returns the key of the record of a pool's drains.
func DrainKey(id PoolID) Key { return DrainPrefix + Key(id) }

// AllotmentKey returns the key of a team's allotment.
func AllotmentKey(id TeamID) Key { return AllotmentPrefix + Key(id) }

// EntryKey returns the key of an entry host's presence record.
func EntryKey(id EntryID) Key { return EntryPrefix + Key(id) }

// ClaimKey returns the key of the claim of a request's id.
func ClaimKey(team TeamID, id RequestID) Key { return ClaimPrefix + Key(team) + "/" + Key(id) }

// The keys of jobs are outside Prefix, since their changes are for the scheduler alone.
const (
	// JobInputPrefix holds the records that entry hosts write: accepted jobs and cancellations.
	JobInputPrefix Key = "jaybarrow-jobs/input/"
	// JobStatePrefix holds the scheduler's record of each job's progress.
	JobStatePrefix Key = "jaybarrow-jobs/state/"
	// JobLeaderKey is the key of the record that names the leading scheduler; its revision is that scheduler's fencing token.
	JobLeaderKey Key = "jaybarrow-jobs/leader"
	// JobChallengeKey is the key of the record in which an entry host asks a leader with a slower link or fewer cores to resign. Those who follow the leader's
	// record receive it too, since JobLeaderKey is its prefix.
	JobChallengeKey = JobLeaderKey + "/challenge"
	// JobCongestionKey is the key of the record in which the leader names the pools that may refuse jobs. Those who follow the leader's record
	// receive it too. It is kept under the leader's lease.
	JobCongestionKey = JobLeaderKey + "/congestion"
	// JobWavePrefix holds the progress of maintenance waves.
	JobWavePrefix Key = "jaybarrow-jobs/wave/"

	jobAcceptedPrefix  = JobInputPrefix + "accepted/"
	jobCancelledPrefix = JobInputPrefix + "cancelled/"
)

// JobAcceptedKey returns the key of an accepted job.
func JobAcceptedKey(id JobID) Key { return jobAcceptedPrefix + Key(id) }

// JobCancelledKey returns the key of a job's cancellation.
func JobCancelledKey(id JobID) Key { return jobCancelledPrefix + Key(id) }

// JobStateKey returns the key of a job's progress.
func JobStateKey(id JobID) Key { return JobStatePrefix + Key(id) }

// ParseJobAcceptedKey returns the job whose acceptance the key holds.
func ParseJobAcceptedKey(key Key) (JobID, bool) {
	id, ok := strings.CutPrefix(string(key), string(jobAcceptedPrefix))
	return JobID(id), ok
}

// ParseJobCancelledKey returns the job whose cancellation the key holds.
func ParseJobCancelledKey(key Key) (JobID, bool) {
	id, ok := strings.CutPrefix(string(key), string(jobCancelledPrefix))
	return JobID(id), ok
}

// ParseJobStateKey returns the job whose progress the key holds.
func ParseJobStateKey(key Key) (JobID, bool) {
	id, ok := strings.CutPrefix(string(key), string(JobStatePrefix))
	return JobID(id), ok
}
