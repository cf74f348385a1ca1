package validate

import (
	"encoding/hex"
	"net/netip"
	"strings"
)

// The allowed forms, as described in error messages.
const (
	NameForm      = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
	AddressForm   = "an IP address and a port from 1 to 65535, such as 10.0.0.7:8080"
	HashForm      = "the hex SHA-256 of a key: 64 digits from 0-9 and a-f"
	RequestIDForm = "1 to 128 letters, digits, '.', '_', ':' or '-', starting with a letter or digit"
)

const (
	maxNameLength      = 64  // bytes
	maxRequestIDLength = 128 // bytes
	hashLength         = 64  // hex digits
)

// Name reports whether the text is a valid id of a team, pool, queue, host, rack, data centre or entry host. Ids are parts of
// store keys and URL paths, so '/' is not allowed.
func Name(text string) bool {
	return text != "" && len(text) <= maxNameLength && isAlphanumeric(text[0]) && containsOnly(text, "._-")
}

// RequestID reports whether the text is a valid request id of a caller; like a name it is part of store keys and URL paths.
func RequestID(text string) bool {
	return text != "" && len(text) <= maxRequestIDLength && isAlphanumeric(text[0]) && containsOnly(text, "._:-")
}

// Address reports whether the text is an IP address and a port that a connection can be opened to, so neither unspecified nor
// multicast.
func Address(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// Hash reports whether the text is a lower-case hex SHA-256.
func Hash(text string) bool {
	_, err := hex.DecodeString(text)
	return err == nil && len(text) == hashLength && strings.ToLower(text) == text
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// containsOnly reports whether the text consists of ASCII letters, digits and the punctuation.
func containsOnly(text, punctuation string) bool {
	for i := range len(text) {
		if !isAlphanumeric(text[i]) && strings.IndexByte(punctuation, text[i]) < 0 {
			return false
		}
	}
	return true
}
