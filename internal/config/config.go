// Package config reads and validates the settings file that the platform hands to a controller,
// and derives from it the limits and durations that other packages use.
package config

import (
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"
)

// Config is the settings file. Unknown fields are ignored: newer platforms may add some.
type Config struct {
	// Node is this controller's name. Zone is the zone in which it runs.
	Node string `toml:"node"`
	Zone string `toml:"zone"`
	// Listen is the address (host:port) for users and workers, and PeerListen is the one for other
	// controllers.
	Listen     string    `toml:"listen"`
	PeerListen string    `toml:"peer_listen"`
	Peers      []Peer    `toml:"others"`
	Endpoints  Endpoints `toml:"outside"`
	Cluster    Cluster   `toml:"cluster"`
}

// Peer is another controller.
type Peer struct {
	Node string `toml:"node"`
	Zone string `toml:"zone"`
	Addr string `toml:"addr"` // host:port
}

// Endpoints are the addresses (host:port) of the services that a controller uses.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"` // the key-value store
}

// Cluster are the settings that are the same for all controllers.
type Cluster struct {
	Nodes int      `toml:"nodes"` // the number of controllers
	Zones []string `toml:"zones"`
	// ClockErrorMS is the maximum error of a machine's wall clock (ms).
	ClockErrorMS float64       `toml:"clock_error_ms"`
	Teams        []Team        `toml:"teams"`
	Objectives   []Objective   `toml:"objectives"`
	Workers      WorkerTimings `toml:"workers"`
	State        StateSettings `toml:"state"`
	Cloud        CloudSettings `toml:"cloud"`
	Limits       ProcessLimits `toml:"limits"`
}

// WorkerTimings are the durations of the worker protocol, in seconds.
type WorkerTimings struct {
	// HeartbeatIntervalSeconds is the time between two heartbeats of a worker.
	HeartbeatIntervalSeconds float64 `toml:"report_s"`
	// LeaseSeconds is the time from a worker's last answered heartbeat until the worker stops its
	// tasks.
	LeaseSeconds float64 `toml:"lease_s"`
	// GangWaitSeconds is how long a task of a gang waits for the gang's other tasks before it gives
	// up.
	GangWaitSeconds float64 `toml:"gang_wait_s"`
	// GangPeerTimeoutSeconds is how long the tasks of a gang continue while one of the gang's tasks
	// is missing, before they fail.
	GangPeerTimeoutSeconds float64 `toml:"gang_peer_s"`
	// CancelSeconds is the maximum time from the cancellation of a job until its tasks have ended.
	CancelSeconds float64 `toml:"cancel_s"`
}

// StateSettings are the limits of the key-value store.
type StateSettings struct {
	StateLimits
	// Next are the limits that will replace the current ones at some time, without notice. 0 means
	// that the current limit stays in force.
	Next StateLimits `toml:"next"`
}

// StateLimits are maximum values that the key-value store enforces.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // changes per second
	ValueKB  float64 `toml:"value_kb"`  // size of one value (KiB)
	TxnOps   int     `toml:"txn_ops"`   // changes in one transaction
}

// CloudSettings describe the cloud's interface.
type CloudSettings struct {
	RPS            float64 `toml:"rps"`        // maximum requests per second
	ListLagSeconds float64 `toml:"list_lag_s"` // how old the list of machines may be
}

// ProcessLimits are the resources that a controller's process may use.
type ProcessLimits struct {
	Cores      float64 `toml:"cores"`
	MemMB      float64 `toml:"mem_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Team is a team with its guaranteed resources and its quota, the maximum that it may use. An
// amount of 0 means that there is no guarantee or no limit.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Load reads and validates the settings file. The error for an invalid value wraps a *FieldError.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	var c Config
	if err := toml.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	return &c, nil
}

// Team returns a team by its name; ok is false if there is none.
func (c *Config) Team(name string) (team Team, ok bool) {
	for _, team := range c.Cluster.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// Members returns all controllers of the cluster, this one first.
func (c *Config) Members() []Peer {
	return append([]Peer{{Node: c.Node, Zone: c.Zone, Addr: c.PeerListen}}, c.Peers...)
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
