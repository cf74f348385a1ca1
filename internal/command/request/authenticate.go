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
	access, ok, err := a.lookUp(HashKey(key))
	if err != nil {
		return "", err
	}
	if !ok {
		return "", jaybarrow.Errorf(jaybarrow.KindBadKey, "the key is unknown")
	}
	return access.Team, nil
}

// Check checks the key of an admitted request again; it returns KindBadKey when the key was withdrawn since, or
// KindStaleConfiguration when the local records are too old to decide. A key that is unknown here passes: the entry host that
// admitted the request knew it, so it is newer than the local records and was not withdrawn before them.
func (a *Authenticator) Check(hash jaybarrow.KeyHash) error {
	if hash == "" {
		return nil
	}
	_, _, err := a.lookUp(hash)
	return err
}

// lookUp returns the key's record and whether there is one. Whether the records are recent enough is asked first, so that a
// pause of the process after the answer leaves a record that the answer covers.
func (a *Authenticator) lookUp(hash jaybarrow.KeyHash) (jaybarrow.AccessKey, bool, error) {
	fresh := a.fresh()
	access, ok := a.find(hash)
	if ok && access.Withdrawn {
		return access, ok, jaybarrow.Errorf(jaybarrow.KindBadKey, "the key is withdrawn")
	}
	if !fresh {
		return access, ok, jaybarrow.Errorf(jaybarrow.KindStaleConfiguration,
			"this entry host is cut off and cannot know whether the key was withdrawn")
	}
	return access, ok, nil
}
