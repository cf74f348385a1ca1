package jaybarrow

// Prefix is the part of the store that belongs to the system.
const Prefix Key = "/jaybarrow/"

// The kinds of records below Prefix.
const (
	TeamPrefix   = Prefix + "config/team/"
	AccessPrefix = Prefix + "config/key/"
	PoolPrefix   = Prefix + "config/pool/"
	QueuePrefix  = Prefix + "config/queue/"
	HostPrefix   = Prefix + "host/"
	DrainPrefix  = Prefix + "drain/"
	PermitPrefix = Prefix + "permit/"
	EntryPrefix  = Prefix + "entry/"
)

// ClaimPrefix is outside Prefix, so that claims do not reach the watches of the configuration.
const ClaimPrefix Key = "/jaybarrow-claim/"

// LeasePrefix holds short-lived leases, such as a maintenance driver's; it too is outside the watch.
const LeasePrefix Key = "/jaybarrow-lease/"

// TeamKey returns the key of a team's record.
func TeamKey(id TeamID) Key { return TeamPrefix + Key(id) }

// AccessKeyKey returns the key of an access key's record.
func AccessKeyKey(hash KeyHash) Key { return AccessPrefix + Key(hash) }

// PoolKey returns the key of a pool's record.
func PoolKey(id PoolID) Key { return PoolPrefix + Key(id) }

// QueueKey returns the key of a queue's record.
func QueueKey(id QueueID) Key { return QueuePrefix + Key(id) }

// HostKey returns the key of a host's record.
func HostKey(id HostID) Key { return HostPrefix + Key(id) }

// DrainKey returns the key of a pool's drains.
func DrainKey(id PoolID) Key { return DrainPrefix + Key(id) }

// PermitKey returns the key of a team's allotment.
func PermitKey(id TeamID) Key { return PermitPrefix + Key(id) }

// EntryKey returns the key of an entry host's presence.
func EntryKey(id EntryID) Key { return EntryPrefix + Key(id) }

// ClaimKey returns the key of the claim of a request's id.
func ClaimKey(team TeamID, id RequestID) Key { return ClaimPrefix + Key(team) + "/" + Key(id) }
