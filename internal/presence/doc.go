// Package presence registers this process as an entry host in the store and renews the registration.
package presence
