package job

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/catalog"
)

// Authorizer checks a caller's key against the configuration in force.
type Authorizer struct {
	clock   jaybarrow.Clock
	catalog *catalog.Catalog
	maxAge  time.Duration
}

// NewAuthorizer returns an Authorizer that refuses to decide by a configuration that was not confirmed for maxAge.
func NewAuthorizer(clock jaybarrow.Clock, c *catalog.Catalog, maxAge time.Duration) *Authorizer {
	return &Authorizer{clock: clock, catalog: c, maxAge: maxAge}
}

// HashKey returns the stored form of a caller's key.
func HashKey(key string) jaybarrow.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return jaybarrow.KeyHash(hex.EncodeToString(sum[:]))
}

// Fresh returns KindStaleConfiguration when the configuration in force may be outdated.
func (a *Authorizer) Fresh() error {
	age, known := a.catalog.Age(a.clock.Now())
	if !known {
		return jaybarrow.Errorf(jaybarrow.KindStaleConfiguration, "no configuration is known yet")
	}
	if age > a.maxAge {
		return jaybarrow.Errorf(jaybarrow.KindStaleConfiguration, "the configuration was last confirmed %d ms ago", age.Milliseconds())
	}
	return nil
}

// FindQueue returns the queue that the host name and the path select and the rest of the path, or KindUnknownQueue.
func (a *Authorizer) FindQueue(host, path string) (*jaybarrow.JobQueue, string, error) {
	if err := a.Fresh(); err != nil {
		return nil, "", err
	}
	q, rest, ok := a.catalog.Find(host, path)
	if !ok {
		return nil, "", jaybarrow.Errorf(jaybarrow.KindUnknownQueue, "no queue at host %q and path %q", host, path)
	}
	return q, rest, nil
}

// Team returns the team of the key, or KindBadKey; an open queue needs no key and has no team.
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
