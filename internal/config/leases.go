package config

import (
	"time"

	"cherrywall/internal/tuning"
)

// This file has all rules that depend on time alone: how long a controller may renew the leases of
// workers after its last read of the key-value store, and when the lease of a worker that sends no
// heartbeats has expired. docs/recovery.md, "How long a worker may be kept alive", shows why these
// rules are correct.

// HeartbeatAnswerValidity returns how long a controller may answer heartbeats after its last read
// of the key-value store. A controller that has lost a shard, but has not read of the loss yet, may
// answer the shard's workers for that time. The time is short enough that the tasks of a job that
// another controller has cancelled still end in time, by the expiry of their workers' leases.
func (c *Config) HeartbeatAnswerValidity() time.Duration {
	workers := c.Cluster.Workers
	return Seconds(workers.CancelSeconds*(1-2*tuning.MaxClockDrift)-workers.LeaseSeconds) - 2*tuning.LeaseExpiryMargin
}

// MayAnswerHeartbeats reports whether leases of workers may be renewed and their tasks started at
// now by a controller that knows all changes of records that were committed up to knownAt. knownAt
// is when the latest answered read of the key-value store was sent. The age of knownAt is measured
// by the monotonic clock and by the wall clock, and the longer one counts: the monotonic clock
// stops while a machine is suspended, and the wall clock may be set back.
func (c *Config) MayAnswerHeartbeats(now, knownAt time.Time) bool {
	return knowledgeAge(now, knownAt) < c.HeartbeatAnswerValidity()
}

// MayStartTasks reports whether a task may be started at now by a controller that knows all
// cancellations up to knownAt, which has the same meaning as for MayAnswerHeartbeats.
// docs/recovery.md, "No start after a cancellation", shows why the rule is correct.
func (c *Config) MayStartTasks(now, knownAt time.Time) bool {
	return knowledgeAge(now, knownAt) < tuning.MaxStartKnowledgeAge
}

// CancellationEffectiveDelay returns the time from when one controller learned of a change, such as a
// cancellation or the acquisition of a shard, until all controllers observe it. After that time no
// controller starts a task without knowing of the change.
func (c *Config) CancellationEffectiveDelay() time.Duration {
	return Seconds(tuning.MaxStartKnowledgeAge.Seconds()*(1+2*tuning.MaxClockDrift)) + tuning.StartKnowledgeMargin
}

// knowledgeAge returns the age of knownAt at now by the monotonic clock or by the wall clock,
// whichever is longer.
func knowledgeAge(now, knownAt time.Time) time.Duration {
	wallClockAge := now.Round(0).Sub(knownAt.Round(0)) // Round strips the monotonic clock
	return max(now.Sub(knownAt), wallClockAge)
}

// WorkerLeaseExpiryDelay returns the time after a worker's last answered heartbeat at which the
// worker's tasks have certainly stopped.
func (c *Config) WorkerLeaseExpiryDelay() time.Duration {
	return expiryDelay(c.Cluster.Workers.LeaseSeconds)
}

// PreviousOwnerExpiryDelay returns how long after the acquisition of a shard all leases that its
// previous owner may have renewed have certainly expired. The previous owner renews leases for no
// longer than HeartbeatAnswerValidity.
func (c *Config) PreviousOwnerExpiryDelay() time.Duration {
	return expiryDelay(c.Cluster.Workers.CancelSeconds)
}

// expiryDelay returns the longest time that a period of the given seconds takes if it is measured
// by the slowest clock that the protocol allows, plus a margin.
func expiryDelay(seconds float64) time.Duration {
	return Seconds(seconds*(1+2*tuning.MaxClockDrift)) + tuning.LeaseExpiryMargin
}

// WorkerLeaseExpiresAt returns the time after which a worker certainly runs no tasks, if it has
// sent no heartbeat with the fencing token of its shard's current owner. acquiredAt is when that
// owner acquired the shard. Once PreviousOwnerExpiryDelay has passed since then, all leases that
// the previous owner renewed have expired. lastHeartbeatAt is when the last heartbeat arrived that
// the current owner may have answered. That answer may have renewed the lease even though no
// heartbeat shows the token: a worker may be cut off together with the previous owner, reconnect
// late, and then be cut off itself. If the answer were ignored, the lease of that worker would
// count as expired up to one lease too early, and its tasks would run twice.
func (c *Config) WorkerLeaseExpiresAt(acquiredAt, lastHeartbeatAt time.Time) time.Time {
	previousOwnerLeaseExpiry := acquiredAt.Add(c.PreviousOwnerExpiryDelay())
	lastAnswerLeaseExpiry := lastHeartbeatAt.Add(c.WorkerLeaseExpiryDelay())
	if lastAnswerLeaseExpiry.After(previousOwnerLeaseExpiry) {
		return lastAnswerLeaseExpiry
	}
	return previousOwnerLeaseExpiry
}
