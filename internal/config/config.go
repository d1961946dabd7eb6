// Package config reads the settings file that the platform hands over.
package config

import (
	"fmt"
	"net"
	"os"
	"time"

	"cherrywall/internal/tuning"

	"github.com/BurntSushi/toml"
)

// Peer is another controller.
type Peer struct {
	Node string `toml:"node"`
	Zone string `toml:"zone"`
	Addr string `toml:"addr"`
}

// Team holds a team's guarantee and its cap; 0 means none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Kinds of objectives that are about single jobs.
const (
	ObjectiveStarted  = "wait"     // a job's tasks have started within a time
	ObjectiveFinished = "finished" // a job is done within a time
	ObjectiveDeadline = "deadline" // a job is done by a multiple of its own deadline
)

// Objective restates one aim of the users.
type Objective struct {
	Kind             string  `toml:"kind"`
	Class            string  `toml:"class"`
	WithinSeconds    float64 `toml:"within_s"`
	Fraction         float64 `toml:"share"`
	DeadlineMultiple float64 `toml:"times"` // of Deadline: the multiple of the deadline, 0 for 1
}

// StateLimits are what the state service takes: requests and changes a second, KiB a value,
// changes a transaction.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Config is the whole file. Unknown fields are ignored: newer platforms may
// add some.
type Config struct {
	Node       string `toml:"node"`
	Zone       string `toml:"zone"`
	Listen     string `toml:"listen"`
	PeerListen string `toml:"peer_listen"`
	Peers      []Peer `toml:"others"`
	Endpoints  struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
	Cluster struct {
		Nodes        int         `toml:"nodes"`
		Zones        []string    `toml:"zones"`
		ClockErrorMS float64     `toml:"clock_error_ms"`
		Teams        []Team      `toml:"teams"`
		Objectives   []Objective `toml:"objectives"`
		Workers      struct {
			ReportS   float64 `toml:"report_s"`
			LeaseS    float64 `toml:"lease_s"`
			GangWaitS float64 `toml:"gang_wait_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
			CancelS   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			StateLimits
			// Next are the limits that the state service will have from some moment on,
			// without notice; 0: as now.
			Next StateLimits `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			Cores      float64 `toml:"cores"`
			MemMB      float64 `toml:"mem_mb"`
			MaxSockets int     `toml:"max_sockets"`
		} `toml:"limits"`
	} `toml:"cluster"`
}

// Load reads and checks the file. Every error names the field at fault.
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

func (c *Config) validate() error {
	if c.Node == "" {
		return fmt.Errorf("node: missing")
	}
	if c.Zone == "" {
		return fmt.Errorf("zone: missing")
	}
	type named struct{ field, addr string }
	addrs := []named{
		{"listen", c.Listen}, {"peer_listen", c.PeerListen},
		{"outside.cloud", c.Endpoints.Cloud}, {"outside.state", c.Endpoints.State},
	}
	seen := map[string]bool{c.Node: true}
	for i, p := range c.Peers {
		if p.Node == "" || seen[p.Node] {
			return fmt.Errorf("others[%d].node: missing or given twice", i)
		}
		seen[p.Node] = true
		addrs = append(addrs, named{fmt.Sprintf("others[%d].addr", i), p.Addr})
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %q is not host:port", a.field, a.addr)
		}
	}
	if len(c.Cluster.Zones) == 0 {
		return fmt.Errorf("cluster.zones: missing")
	}
	w, s := c.Cluster.Workers, c.Cluster.State
	positive := []struct {
		field string
		value float64
	}{
		{"cluster.workers.report_s", w.ReportS}, {"cluster.workers.lease_s", w.LeaseS},
		{"cluster.workers.gang_wait_s", w.GangWaitS}, {"cluster.workers.gang_peer_s", w.GangPeerS},
		{"cluster.workers.cancel_s", w.CancelS},
		{"cluster.state.rps", s.RPS}, {"cluster.state.write_rps", s.WriteRPS},
		{"cluster.state.value_kb", s.ValueKB}, {"cluster.state.txn_ops", float64(s.TxnOps)},
		{"cluster.cloud.rps", c.Cluster.Cloud.RPS},
		{"cluster.limits.mem_mb", c.Cluster.Limits.MemMB},
	}
	for _, p := range positive {
		if !(p.value > 0) {
			return fmt.Errorf("%s: must be above 0", p.field)
		}
	}
	for _, p := range []struct {
		field string
		value float64
	}{
		{"cluster.state.next.rps", s.Next.RPS}, {"cluster.state.next.write_rps", s.Next.WriteRPS},
		{"cluster.state.next.value_kb", s.Next.ValueKB}, {"cluster.state.next.txn_ops", float64(s.Next.TxnOps)},
	} {
		if !(p.value >= 0) {
			return fmt.Errorf("%s: must not be negative", p.field)
		}
	}
	if n := s.Next.ValueKB; n > 0 && n < tuning.MinValueKB {
		return fmt.Errorf("cluster.state.next.value_kb: must be at least %g", tuning.MinValueKB)
	}
	if n := s.Next.TxnOps; n > 0 && n < tuning.MinTxnOps {
		return fmt.Errorf("cluster.state.next.txn_ops: must be at least %d", tuning.MinTxnOps)
	}
	if c.Cluster.Cloud.ListLagS < 0 {
		return fmt.Errorf("cluster.cloud.list_lag_s: must not be negative")
	}
	// A worker's lease must be able to run out inside the time a cancellation
	// has, or no controller could ever go on without the state service.
	if w.CancelS <= w.LeaseS {
		return fmt.Errorf("cluster.workers.cancel_s: must be above lease_s")
	}
	if c.Cluster.ClockErrorMS < 0 {
		return fmt.Errorf("cluster.clock_error_ms: must not be negative")
	}
	names := map[string]bool{}
	for i, t := range c.Cluster.Teams {
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("cluster.teams[%d].name: missing or given twice", i)
		}
		names[t.Name] = true
		if t.GuaranteedCPUs < 0 || t.MaxCPUs < 0 || t.GuaranteedGPUs < 0 || t.MaxGPUs < 0 {
			return fmt.Errorf("cluster.teams[%d]: negative amount", i)
		}
	}
	return nil
}

// Team finds a team by name.
func (c *Config) Team(name string) (Team, bool) {
	for _, t := range c.Cluster.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// HasObjective tells whether the objectives name a class. Without any that names one,
// all classes are equal.
func (c *Config) HasObjective(class string) bool {
	any := false
	for _, o := range c.Cluster.Objectives {
		if o.Class != "" && o.Class == class {
			return true
		}
		any = any || o.Class != ""
	}
	return !any
}

// DeadlineMultiple is the largest multiple of its deadline by which a job of a class should be done.
func (c *Config) DeadlineMultiple(class string) float64 {
	most := 1.0
	for _, o := range c.Cluster.Objectives {
		if o.Kind == ObjectiveDeadline && o.Class == class {
			most = max(most, o.DeadlineMultiple)
		}
	}
	return most
}

// TargetSeconds is the time (seconds) in which a job of a class should be done: its
// deadline, or what is asked of its class, if that is less.
func TargetSeconds(objectives []Objective, class string, due *float64) float64 {
	within := tuning.WorkHorizon.Seconds() / tuning.DeadlineTargetFraction
	if due != nil {
		within = *due
	}
	for _, o := range objectives {
		if o.Kind == ObjectiveFinished && o.Class == class {
			return min(within, o.WithinSeconds)
		}
	}
	return within
}

// Members lists all controllers with their zones, this one included.
func (c *Config) Members() []Peer {
	return append([]Peer{{Node: c.Node, Zone: c.Zone, Addr: c.PeerListen}}, c.Peers...)
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
