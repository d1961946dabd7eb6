package config

import "cherrywall/internal/tuning"

// EffectiveStateLimits are what every write keeps to: the smaller of the state service's present limits
// and those to come, since these come into force without notice.
func (c *Config) EffectiveStateLimits() StateLimits {
	now, next := c.Cluster.State.StateLimits, c.Cluster.State.Next
	return StateLimits{RPS: smallerLimit(now.RPS, next.RPS), WriteRPS: smallerLimit(now.WriteRPS, next.WriteRPS),
		ValueKB: smallerLimit(now.ValueKB, next.ValueKB), TxnOps: smallerLimit(now.TxnOps, next.TxnOps)}
}

// smallerLimit is the smaller of a limit and the one to come, which is 0 if it stays.
func smallerLimit[T int | float64](now, next T) T {
	if next > 0 {
		return min(now, next)
	}
	return now
}

// TargetValueBytes is how long a record should be, for a value of the state service.
func (c *Config) TargetValueBytes() int {
	return int(c.EffectiveStateLimits().ValueKB * 1024 * tuning.RecordValueFraction)
}

// MaxValueBytes is how long a value may be for certain, now and later; PresentBytes how long
// it may be as long as the limits to come are not in force.
func (c *Config) MaxValueBytes() int {
	return int(c.EffectiveStateLimits().ValueKB*1024) - tuning.ValueMarginBytes
}

// PresentBytes: see WholeBytes.
func (c *Config) CurrentMaxValueBytes() int {
	return int(c.Cluster.State.ValueKB*1024) - tuning.ValueMarginBytes
}
