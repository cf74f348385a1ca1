// Package validate checks names, addresses, key hashes and request ids that come from operators and callers.
package validate
