// Package jobpeer is the gRPC protocol between entry hosts that accept jobs: questions about jobs, writes through the leader,
// announcements of stored records and the configuration.
package jobpeer
