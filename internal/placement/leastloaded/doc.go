// Package leastloaded places work on the candidate with the most free slots.
package leastloaded
