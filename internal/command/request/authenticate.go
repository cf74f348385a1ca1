package request

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jaybarrow/jaybarrow"
)

// HashKey returns the hash under which a key is stored.
func HashKey(key string) jaybarrow.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return jaybarrow.KeyHash(hex.EncodeToString(sum[:]))
}

// Authenticator finds the team of a caller's key.
type Authenticator struct {
	find  func(jaybarrow.KeyHash) (jaybarrow.AccessKey, bool)
	fresh func() bool
}

// NewAuthenticator returns an Authenticator that looks keys up with find. fresh reports whether the local records are recent
// enough to include every withdrawal that is in force.
func NewAuthenticator(find func(jaybarrow.KeyHash) (jaybarrow.AccessKey, bool), fresh func() bool) *Authenticator {
	return &Authenticator{find: find, fresh: fresh}
}

// Team returns the team of the key, KindBadKey for a key that is unknown or withdrawn, or KindStaleConfiguration when the local
// records are too old to decide.
func (a *Authenticator) Team(key string) (jaybarrow.TeamID, error) {
	access, ok := a.find(HashKey(key))
	if ok && access.Withdrawn {
		return "", jaybarrow.Errorf(jaybarrow.KindBadKey, "the key is withdrawn")
	}
	if !a.fresh() {
		return "", jaybarrow.Errorf(jaybarrow.KindStaleConfiguration,
			"this entry host is cut off and cannot know whether the key was withdrawn")
	}
	if !ok {
		return "", jaybarrow.Errorf(jaybarrow.KindBadKey, "the key is unknown")
	}
	return access.Team, nil
}
