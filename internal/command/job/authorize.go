package job

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
)

// Authorizer finds queues and checks callers' keys in the configuration in force.
type Authorizer struct {
	clock   jaybarrow.Clock
	catalog *catalog.Catalog
	maxAge  time.Duration
}

// NewAuthorizer returns an Authorizer that finds no queue when the configuration was last confirmed more than maxAge ago.
func NewAuthorizer(clock jaybarrow.Clock, c *catalog.Catalog, maxAge time.Duration) *Authorizer {
	return &Authorizer{clock: clock, catalog: c, maxAge: maxAge}
}

// HashKey returns the hash under which a caller's key is stored.
func HashKey(key string) jaybarrow.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return jaybarrow.KeyHash(hex.EncodeToString(sum[:]))
}

// CheckFreshness returns KindStaleConfiguration when the configuration was last confirmed more than maxAge ago or never.
func (a *Authorizer) CheckFreshness() error {
	age, known := a.catalog.Age(a.clock.Now())
	if !known {
		return jaybarrow.Errorf(jaybarrow.KindStaleConfiguration, "no configuration is known yet")
	}
	if age > a.maxAge {
		return jaybarrow.Errorf(jaybarrow.KindStaleConfiguration, "the configuration was last confirmed %d ms ago", age.Milliseconds())
	}
	return nil
}

// FindQueue returns the queue of the host name and path, and the rest of the path. It returns KindUnknownQueue when there is no
// such queue, and KindStaleConfiguration as CheckFreshness does.
func (a *Authorizer) FindQueue(host, path string) (*jaybarrow.JobQueue, string, error) {
	if err := a.CheckFreshness(); err != nil {
		return nil, "", err
	}
	q, rest, ok := a.catalog.Find(host, path)
	if !ok {
		return nil, "", jaybarrow.Errorf(jaybarrow.KindUnknownQueue, "no queue at host %q and path %q", host, path)
	}
	return q, rest, nil
}

// Team returns the team of the key, or KindBadKey. On an open queue the key is not checked and the team is empty.
func (a *Authorizer) Team(queue *jaybarrow.JobQueue, key string) (jaybarrow.TeamID, error) {
	if queue.Open {
		return "", nil
	}
	team, ok := a.catalog.Team(HashKey(key))
	if !ok {
		return "", jaybarrow.Errorf(jaybarrow.KindBadKey, "the key is not known")
	}
	return team, nil
}
