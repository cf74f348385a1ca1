// Package twochoices places work on the better of two candidates drawn at random.
package twochoices
