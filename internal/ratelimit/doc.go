// Package ratelimit bounds how often an operation may happen.
package ratelimit
