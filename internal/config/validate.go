package config

import (
	"fmt"
	"net"

	"cherrywall/internal/tuning"
)

// FieldError reports an invalid value in the settings file. Field is the path of the field.
type FieldError struct{ Field, Reason string }

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// fieldErrorf returns a *FieldError whose reason is formatted as by fmt.Sprintf.
func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// validate returns a *FieldError for the first invalid value, nil if all are valid.
func (c *Config) validate() error {
	for _, check := range []func() error{
		c.validateNode,
		c.validateAddresses,
		c.validatePositive,
		c.validateNextLimits,
		c.validateTimings,
		c.validateTeams,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) validateNode() error {
	if c.Node == "" {
		return fieldErrorf("node", "missing")
	}
	if c.Zone == "" {
		return fieldErrorf("zone", "missing")
	}
	names := map[string]bool{c.Node: true}
	for i, peer := range c.Peers {
		if peer.Node == "" || names[peer.Node] {
			return fieldErrorf(fmt.Sprintf("others[%d].node", i), "missing or given twice")
		}
		names[peer.Node] = true
	}
	return nil
}

func (c *Config) validateAddresses() error {
	type address struct{ field, value string }
	addresses := []address{
		{"listen", c.Listen}, {"peer_listen", c.PeerListen},
		{"outside.cloud", c.Endpoints.Cloud}, {"outside.state", c.Endpoints.State},
	}
	for i, peer := range c.Peers {
		addresses = append(addresses, address{fmt.Sprintf("others[%d].addr", i), peer.Addr})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fieldErrorf(a.field, "%q is not host:port", a.value)
		}
	}
	return nil
}

// numericField is a value with the path of its field.
type numericField struct {
	field string
	value float64
}

func (c *Config) validatePositive() error {
	if len(c.Cluster.Zones) == 0 {
		return fieldErrorf("cluster.zones", "missing")
	}
	workers, state := c.Cluster.Workers, c.Cluster.State
	for _, n := range []numericField{
		{"cluster.workers.report_s", workers.HeartbeatIntervalSeconds}, {"cluster.workers.lease_s", workers.LeaseSeconds},
		{"cluster.workers.gang_wait_s", workers.GangWaitSeconds}, {"cluster.workers.gang_peer_s", workers.GangPeerTimeoutSeconds},
		{"cluster.workers.cancel_s", workers.CancelSeconds},
		{"cluster.state.rps", state.RPS}, {"cluster.state.write_rps", state.WriteRPS},
		{"cluster.state.value_kb", state.ValueKB}, {"cluster.state.txn_ops", float64(state.TxnOps)},
		{"cluster.cloud.rps", c.Cluster.Cloud.RPS},
		{"cluster.limits.mem_mb", c.Cluster.Limits.MemMB},
	} {
		if !(n.value > 0) { // also refuses NaN, which TOML allows
			return fieldErrorf(n.field, "must be above 0")
		}
	}
	return nil
}

func (c *Config) validateNextLimits() error {
	next := c.Cluster.State.Next
	for _, n := range []numericField{
		{"cluster.state.next.rps", next.RPS}, {"cluster.state.next.write_rps", next.WriteRPS},
		{"cluster.state.next.value_kb", next.ValueKB}, {"cluster.state.next.txn_ops", float64(next.TxnOps)},
	} {
		if !(n.value >= 0) { // also refuses NaN, which TOML allows
			return fieldErrorf(n.field, "must not be negative")
		}
	}
	if next.ValueKB > 0 && next.ValueKB < tuning.MinValueKB {
		return fieldErrorf("cluster.state.next.value_kb", "must be at least %g", tuning.MinValueKB)
	}
	if next.TxnOps > 0 && next.TxnOps < tuning.MinTxnOps {
		return fieldErrorf("cluster.state.next.txn_ops", "must be at least %d", tuning.MinTxnOps)
	}
	return nil
}

func (c *Config) validateTimings() error {
	if c.Cluster.Cloud.ListLagSeconds < 0 {
		return fieldErrorf("cluster.cloud.list_lag_s", "must not be negative")
	}
	// A worker's lease must be able to expire within the time that a cancellation may take.
	// Otherwise no controller could ever answer heartbeats without the key-value store.
	if c.Cluster.Workers.CancelSeconds <= c.Cluster.Workers.LeaseSeconds {
		return fieldErrorf("cluster.workers.cancel_s", "must be above lease_s")
	}
	if c.Cluster.ClockErrorMS < 0 {
		return fieldErrorf("cluster.clock_error_ms", "must not be negative")
	}
	return nil
}

func (c *Config) validateTeams() error {
	names := map[string]bool{}
	for i, team := range c.Cluster.Teams {
		if team.Name == "" || names[team.Name] {
			return fieldErrorf(fmt.Sprintf("cluster.teams[%d].name", i), "missing or given twice")
		}
		names[team.Name] = true
		if team.GuaranteedCPUs < 0 || team.MaxCPUs < 0 || team.GuaranteedGPUs < 0 || team.MaxGPUs < 0 {
			return fieldErrorf(fmt.Sprintf("cluster.teams[%d]", i), "negative amount")
		}
	}
	return nil
}
