package config

import (
	"time"

	"cherrywall/internal/tuning"
)

// This file has all rules that rest on time alone: how long a controller may renew the
// leases of workers on what it knows, and from when on the lease of a worker without heartbeats
// has expired. docs/recovery.md, "How long a worker may be kept alive", shows why they are
// right.

// HeartbeatAnswerValidity returns how long a controller may answer heartbeats without a newer
// read of the key-value store, and so how long a previous owner may after it lost a shard. A
// cancellation decided elsewhere must still be able to end the tasks in time, by the expiry of
// their workers' leases.
func (c *Config) HeartbeatAnswerValidity() time.Duration {
	workers := c.Cluster.Workers
	return Seconds(workers.CancelSeconds*(1-2*tuning.MaxClockDrift)-workers.LeaseSeconds) - 2*tuning.LeaseExpiryMargin
}

// MayAnswerHeartbeats reports whether leases of workers may be renewed and their tasks started
// at now. All decisions up to knownAt are known: the time at which the latest read that was
// answered was sent. The age is the longer one by the monotonic clock and by the time of day,
// since the first stands still while a machine is suspended and the second may be set back.
func (c *Config) MayAnswerHeartbeats(now, knownAt time.Time) bool {
	return knowledgeAge(now, knownAt) < c.HeartbeatAnswerValidity()
}

// MayStartTasks reports whether a task may be started at now if all cancellations up to knownAt
// are known, dated as for MayAnswerHeartbeats: docs/recovery.md, "No start after a
// cancellation".
func (c *Config) MayStartTasks(now, knownAt time.Time) bool {
	return knowledgeAge(now, knownAt) < tuning.MaxStartKnowledgeAge
}

// CancellationEffectiveDelay returns how long after a cancellation became known to any
// controller no other one starts a task without knowing it.
func (c *Config) CancellationEffectiveDelay() time.Duration {
	return Seconds(tuning.MaxStartKnowledgeAge.Seconds()*(1+2*tuning.MaxClockDrift)) + tuning.StartKnowledgeMargin
}

func knowledgeAge(now, knownAt time.Time) time.Duration {
	byTimeOfDay := now.Round(0).Sub(knownAt.Round(0)) // Round strips the monotonic clock
	return max(now.Sub(knownAt), byTimeOfDay)
}

// WorkerLeaseExpiryDelay returns how long after its last answered heartbeat a worker's tasks
// have certainly stopped.
func (c *Config) WorkerLeaseExpiryDelay() time.Duration {
	return expiryDelay(c.Cluster.Workers.LeaseSeconds)
}

// PreviousOwnerExpiryDelay returns how long after the acquisition of a shard the leases that
// its previous owner may have renewed have certainly expired: see HeartbeatAnswerValidity.
func (c *Config) PreviousOwnerExpiryDelay() time.Duration {
	return expiryDelay(c.Cluster.Workers.CancelSeconds)
}

// expiryDelay returns how long a number of seconds may last by the slowest clock that the protocol
// allows, plus a margin.
func expiryDelay(seconds float64) time.Duration {
	return Seconds(seconds*(1+2*tuning.MaxClockDrift)) + tuning.LeaseExpiryMargin
}

// WorkerLeaseExpiresAt returns the time from which on a worker certainly runs no tasks, if it has
// sent no heartbeat with the fencing token of its shard's current owner. acquiredAt is when that
// owner acquired the shard: leases that the previous owner renewed have expired by
// PreviousOwnerExpiryDelay after it. lastHeartbeatAt is when the last heartbeat arrived that
// the current owner may have answered. Without that answer, a worker that reconnected late after
// being cut off together with the previous owner, and was then cut off itself, would count as
// expired up to one lease too early, and its tasks would run twice.
func (c *Config) WorkerLeaseExpiresAt(acquiredAt, lastHeartbeatAt time.Time) time.Time {
	byPreviousOwner := acquiredAt.Add(c.PreviousOwnerExpiryDelay())
	byLastAnswer := lastHeartbeatAt.Add(c.WorkerLeaseExpiryDelay())
	if byLastAnswer.After(byPreviousOwner) {
		return byLastAnswer
	}
	return byPreviousOwner
}
