// Package presence registers this process as an entry host and keeps the registration alive.
package presence
