// Package identity generates unique ids and secret keys.
package identity
