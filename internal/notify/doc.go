// Package notify wakes any number of waiters at each change.
package notify
