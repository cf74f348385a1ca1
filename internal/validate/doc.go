// Package validate holds the rules for names, addresses and key hashes that come from operators and callers.
package validate
