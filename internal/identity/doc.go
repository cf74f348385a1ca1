// Package identity makes unique ids.
package identity
