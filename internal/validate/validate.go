package validate

import (
	"encoding/hex"
	"net/netip"
	"strings"
)

// The allowed forms, as error messages name them.
const (
	NameForm      = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
	AddressForm   = "an IP address and a port from 1 to 65535, such as 10.0.0.7:8080"
	HashForm      = "the hex SHA-256 of a key: 64 digits from 0-9 and a-f"
	RequestIDForm = "1 to 128 letters, digits, '.', '_', ':' or '-', starting with a letter or digit"
)

const (
	maxName      = 64
	maxRequestID = 128
	hashLength   = 64
)

// Name reports whether the text can be the id of a team, pool, queue, host, rack, data centre or entry host. Ids are parts
// of store keys and URL paths, so '/' is excluded.
func Name(text string) bool {
	return text != "" && len(text) <= maxName && alphanumeric(text[0]) && made(text, "._-")
}

// RequestID reports whether the text can be a request id given by a caller; like a name it is part of keys and paths.
func RequestID(text string) bool {
	return text != "" && len(text) <= maxRequestID && alphanumeric(text[0]) && made(text, "._:-")
}

// Address reports whether the text is an IP address that a connection can be opened to, and a port.
func Address(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// Hash reports whether the text is a lower-case hex SHA-256.
func Hash(text string) bool {
	_, err := hex.DecodeString(text)
	return err == nil && len(text) == hashLength && strings.ToLower(text) == text
}

func alphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

func made(text, punctuation string) bool {
	for i := range len(text) {
		if !alphanumeric(text[i]) && strings.IndexByte(punctuation, text[i]) < 0 {
			return false
		}
	}
	return true
}
