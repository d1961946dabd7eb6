package config

import "cherrywall/internal/tuning"

// Limits are what every write keeps to: the smaller of the state service's present limits
// and those to come, since these come into force without notice.
func (c *Config) Limits() StateLimits {
	now, next := c.Cluster.State.StateLimits, c.Cluster.State.Next
	return StateLimits{RPS: lesser(now.RPS, next.RPS), WriteRPS: lesser(now.WriteRPS, next.WriteRPS),
		ValueKB: lesser(now.ValueKB, next.ValueKB), TxnOps: lesser(now.TxnOps, next.TxnOps)}
}

// lesser is the smaller of a limit and the one to come, which is 0 if it stays.
func lesser[T int | float64](now, next T) T {
	if next > 0 {
		return min(now, next)
	}
	return now
}

// ValueBytes is how long a record should be, for a value of the state service.
func (c *Config) ValueBytes() int { return int(c.Limits().ValueKB * 1024 * tuning.ValuePart) }

// WholeBytes is how long a value may be for certain, now and later; PresentBytes how long
// it may be as long as the limits to come are not in force.
func (c *Config) WholeBytes() int { return int(c.Limits().ValueKB*1024) - tuning.ValueMargin }

// PresentBytes: see WholeBytes.
func (c *Config) PresentBytes() int { return int(c.Cluster.State.ValueKB*1024) - tuning.ValueMargin }
