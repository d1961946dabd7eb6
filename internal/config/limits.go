package config

import "cherrywall/internal/tuning"

// EffectiveStateLimits returns the limits that no write may exceed. Each is the smaller of the
// store's current limit and the next one, since the next limits come into force without notice.
func (c *Config) EffectiveStateLimits() StateLimits {
	current, next := c.Cluster.State.StateLimits, c.Cluster.State.Next
	return StateLimits{
		RPS:      smallerLimit(current.RPS, next.RPS),
		WriteRPS: smallerLimit(current.WriteRPS, next.WriteRPS),
		ValueKB:  smallerLimit(current.ValueKB, next.ValueKB),
		TxnOps:   smallerLimit(current.TxnOps, next.TxnOps),
	}
}

// smallerLimit returns the smaller of the current and the next limit. If next is 0, the current
// limit stays.
func smallerLimit[T int | float64](current, next T) T {
	if next > 0 {
		return min(current, next)
	}
	return current
}

// TargetValueBytes returns the size (bytes) that a record should not exceed. It leaves space for
// fields that are added later.
func (c *Config) TargetValueBytes() int {
	return int(c.EffectiveStateLimits().ValueKB * 1024 * tuning.RecordValueFraction)
}

// MaxValueBytes returns the maximum size (bytes) of a value that satisfies both the current and
// the next limits.
func (c *Config) MaxValueBytes() int {
	return int(c.EffectiveStateLimits().ValueKB*1024) - tuning.ValueMarginBytes
}

// CurrentMaxValueBytes returns the maximum size (bytes) of a value as long as the next limits are
// not in force.
func (c *Config) CurrentMaxValueBytes() int {
	return int(c.Cluster.State.ValueKB*1024) - tuning.ValueMarginBytes
}
