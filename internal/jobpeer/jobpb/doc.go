// Package jobpb holds the generated messages that entry hosts exchange about jobs.
package jobpb
