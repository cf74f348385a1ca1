// Package permit keeps this entry host's part of each team's limit.
package permit
