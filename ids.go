package jaybarrow

import "time"

// TeamID names a team, the unit that owns keys, shares and limits.
type TeamID string

// PublicTeam is the team that unkeyed requests on open queues run as.
const PublicTeam TeamID = "public"

// KeyHash is the hex SHA-256 of a caller's key; the key itself is never stored.
type KeyHash string

// PoolID names a pool of hosts.
type PoolID string

// QueueID names a queue that callers send requests to.
type QueueID string

// HostID names a host that runs one worker.
type HostID string

// RackID names a rack, the smallest failure domain above a host.
type RackID string

// DataCentreID names a data centre.
type DataCentreID string

// EntryID names an entry host.
type EntryID string

// Incarnation orders the processes of one entry host; it is the store revision of the process's registration.
type Incarnation int64

// RequestID names one caller's request.
type RequestID string

// TaskID names one attempt to run a request on a worker.
type TaskID string

// AttemptID numbers the task starts of one pool's scheduler; a retried request has one for each start.
type AttemptID int64

// Address is an IP address and port, such as "127.0.0.1:8080".
type Address string

// Revision is the store's version of a record or of the whole store; a higher revision is newer.
type Revision int64

// Key is a record's name in the store.
type Key string

// LeaseID names a lease of the store.
type LeaseID int64

// ChangeID marks a written value, so that its writer can recognize it when the answer to the write was lost.
type ChangeID string

// Slots counts task slots on workers.
type Slots int

// Megabytes counts memory in units of 10^6 bytes.
type Megabytes int

// MegabitsPerSecond is the speed of a network link in 10^6 bits per second.
type MegabitsPerSecond float64

// Accelerators counts accelerator devices.
type Accelerators int

// Share is a team's weight in dividing a full fleet; only the ratio between teams matters.
type Share float64

// WorkerClock is a worker's monotonic clock in milliseconds since it started.
type WorkerClock int64

// TaskLease is how long a worker runs a task without a renewal.
const TaskLease = 10 * time.Second

// ClockRateError is the largest assumed difference in rate between two hosts' clocks.
const ClockRateError = 0.01

// TaskLeaseMargin covers rounding and scheduling delay when a task's last possible end is computed.
const TaskLeaseMargin = 500 * time.Millisecond

// LeaseEnd returns the time after which a task that had to start before startBy can no longer be running.
func LeaseEnd(startBy time.Time) time.Time { return LeaseEndAfter(startBy, TaskLease) }

// LeaseEndAfter is LeaseEnd for a lease of another length.
func LeaseEndAfter(startBy time.Time, lease time.Duration) time.Time {
	return startBy.Add(time.Duration(float64(lease)*(1+ClockRateError)) + TaskLeaseMargin)
}
