// Package jobpeer carries questions about jobs between entry hosts over gRPC.
package jobpeer
