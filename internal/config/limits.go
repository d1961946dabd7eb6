package config

import "cherrywall/internal/tuning"

// EffectiveStateLimits returns the limits that every write observes: the smaller ones of the
// store's current limits and those to come, since these come into force without notice.
func (c *Config) EffectiveStateLimits() StateLimits {
	current, next := c.Cluster.State.StateLimits, c.Cluster.State.Next
	return StateLimits{
		RPS:      smallerLimit(current.RPS, next.RPS),
		WriteRPS: smallerLimit(current.WriteRPS, next.WriteRPS),
		ValueKB:  smallerLimit(current.ValueKB, next.ValueKB),
		TxnOps:   smallerLimit(current.TxnOps, next.TxnOps),
	}
}

// smallerLimit returns the smaller of a limit and the one to come; 0 is none to come.
func smallerLimit[T int | float64](current, next T) T {
	if next > 0 {
		return min(current, next)
	}
	return current
}

// TargetValueBytes returns how long a record should be at most, with room for fields to come.
func (c *Config) TargetValueBytes() int {
	return int(c.EffectiveStateLimits().ValueKB * 1024 * tuning.RecordValueFraction)
}

// MaxValueBytes returns how long a value may be both now and when the limits to come are in
// force.
func (c *Config) MaxValueBytes() int {
	return int(c.EffectiveStateLimits().ValueKB*1024) - tuning.ValueMarginBytes
}

// CurrentMaxValueBytes returns how long a value may be as long as the limits to come are not in
// force.
func (c *Config) CurrentMaxValueBytes() int {
	return int(c.Cluster.State.ValueKB*1024) - tuning.ValueMarginBytes
}
