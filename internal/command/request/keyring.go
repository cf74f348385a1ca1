package request

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jaybarrow/jaybarrow"
)

// Hash returns the hash under which a key is stored.
func Hash(key string) jaybarrow.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return jaybarrow.KeyHash(hex.EncodeToString(sum[:]))
}

// Keyring finds the team of a key.
type Keyring struct {
	find  func(jaybarrow.KeyHash) (jaybarrow.AccessKey, bool)
	fresh func() bool
}

// NewKeyring returns a Keyring; fresh reports whether a withdrawal would be known here by now.
func NewKeyring(find func(jaybarrow.KeyHash) (jaybarrow.AccessKey, bool), fresh func() bool) *Keyring {
	return &Keyring{find: find, fresh: fresh}
}

// Team returns the team of a usable key, KindBadKey, or KindStaleConfiguration when the key may have been withdrawn.
func (k *Keyring) Team(key string) (jaybarrow.TeamID, error) {
	access, ok := k.find(Hash(key))
	if ok && access.Withdrawn {
		return "", jaybarrow.Errorf(jaybarrow.KindBadKey, "the key is withdrawn")
	}
	if !k.fresh() {
		return "", jaybarrow.Errorf(jaybarrow.KindStaleConfiguration,
			"this entry host is cut off and cannot know whether the key was withdrawn")
	}
	if !ok {
		return "", jaybarrow.Errorf(jaybarrow.KindBadKey, "the key is unknown")
	}
	return access.Team, nil
}
