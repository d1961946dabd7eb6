package config

import (
	"time"

	"cherrywall/internal/tuning"
)

// Here time decides, and nowhere else: how long a controller may keep workers alive on what
// it knows, and from when on a worker that nobody hears has no tasks. docs/recovery.md,
// "How long a worker may be kept alive", argues why.

// HeartbeatAnswerValidity is how long a controller may answer workers without fresh knowledge, and
// so how long an old holder may after losing a share: a cancellation decided elsewhere
// must still be able to end their tasks in time, by their leases running out.
func (c *Config) HeartbeatAnswerValidity() time.Duration {
	w := c.Cluster.Workers
	return Seconds(w.CancelS*(1-2*tuning.MaxClockDrift)-w.LeaseS) - 2*tuning.LeaseExpiryMargin
}

// MayAnswerHeartbeats tells whether workers may be kept alive, and their tasks started, at a moment:
// known is the one up to which all that was decided is known, that is when the question was
// sent to which it was the answer. The longer counts of what the steady clock and the time of
// day say: the first stands still while a machine sleeps, the second may be set back.
func (c *Config) MayAnswerHeartbeats(now, knownAt time.Time) bool {
	return knowledgeAge(now, knownAt) < c.HeartbeatAnswerValidity()
}

// MayStartTasks tells whether a task may be ordered to start on the knowledge of cancellations up to a
// moment, dated as for MayAnswer: docs/recovery.md, "No start after a cancellation".
func (c *Config) MayStartTasks(now, knownAt time.Time) bool {
	return knowledgeAge(now, knownAt) < tuning.MaxStartKnowledgeAge
}

// CancellationEffectiveDelay is how long after a cancellation became known to any controller no other orders a start
// without knowing it.
func (c *Config) CancellationEffectiveDelay() time.Duration {
	return Seconds(tuning.MaxStartKnowledgeAge.Seconds()*(1+2*tuning.MaxClockDrift)) + tuning.StartKnowledgeMargin
}

func knowledgeAge(now, knownAt time.Time) time.Duration {
	return max(now.Sub(knownAt), now.Round(0).Sub(knownAt.Round(0)))
}

// WorkerLeaseExpiryDelay is how long after a report an unanswered worker's tasks are gone.
func (c *Config) WorkerLeaseExpiryDelay() time.Duration {
	return Seconds(c.Cluster.Workers.LeaseS*(1+2*tuning.MaxClockDrift)) + tuning.LeaseExpiryMargin
}

// PreviousOwnerExpiryDelay is how long after taking a share over its old holder can no longer keep
// any worker alive: see AnswersFor.
func (c *Config) PreviousOwnerExpiryDelay() time.Duration {
	return Seconds(c.Cluster.Workers.CancelS*(1+2*tuning.MaxClockDrift)) + tuning.LeaseExpiryMargin
}

// WorkerLeaseExpiresAt is from when on a worker has no tasks that was not heard under the token of a
// holder: the holder before can't have kept it alive for longer, and the last that this one
// may have answered it was its last report. That answer was left out once: a worker that had
// come over late from a holder cut off with it, and was then cut off itself, was taken for
// gone up to a lease too early, and its tasks were started a second time.
func (c *Config) WorkerLeaseExpiresAt(acquiredAt, lastHeartbeatAt time.Time) time.Time {
	by := acquiredAt.Add(c.PreviousOwnerExpiryDelay())
	if answered := lastHeartbeatAt.Add(c.WorkerLeaseExpiryDelay()); answered.After(by) {
		return answered
	}
	return by
}
