package config

import (
	"time"

	"cherrywall/internal/tuning"
)

// AnswersFor is how long a controller may answer workers without fresh knowledge, and
// so how long an old holder may after losing a share: a cancellation decided elsewhere
// must still be able to end their tasks in time, by their leases running out.
func (c *Config) AnswersFor() time.Duration {
	w := c.Cluster.Workers
	return Seconds(w.CancelS*(1-2*tuning.ClockDrift)-w.LeaseS) - 2*tuning.LeaseMargin
}

// LeaseOver is how long after a report an unanswered worker's tasks are gone.
func (c *Config) LeaseOver() time.Duration {
	return Seconds(c.Cluster.Workers.LeaseS*(1+2*tuning.ClockDrift)) + tuning.LeaseMargin
}

// TenureOver is how long after taking a share over its old holder can no longer keep
// any worker alive: see AnswersFor.
func (c *Config) TenureOver() time.Duration {
	return Seconds(c.Cluster.Workers.CancelS*(1+2*tuning.ClockDrift)) + tuning.LeaseMargin
}
