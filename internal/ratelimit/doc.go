// Package ratelimit limits the rate of an operation with a token bucket.
package ratelimit
