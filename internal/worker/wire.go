// Package worker holds what workers and controllers say to each other.
package worker

import (
	"encoding/json"
	"fmt"
	"math"
)

// States of a task on a machine, as reported.
const (
	Pulling   = "pulling"
	Gathering = "gathering"
	Running   = "running"
	Saving    = "saving"
	Ended     = "ended"
)

// Why a task ended.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseFull    = "full"
	CauseBusy    = "busy"
	CauseNoSuch  = "no_such"
)

// Entry is one task of a report.
type Entry struct {
	Task   string `json:"shift"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause"`
	Kept   bool   `json:"kept"`
}

// Report is what a worker says of itself.
type Report struct {
	Host   string   `json:"host"`
	Addr   string   `json:"addr"`
	Build  string   `json:"build"`
	Zone   string   `json:"valley"`
	Spot   bool     `json:"loaners"`
	Watch  uint64   `json:"watch"`
	Tick   uint64   `json:"tick"`
	Baton  uint64   `json:"baton"`
	Recall *float64 `json:"recallS"`
	Tasks  []Entry  `json:"shifts"`
}

// ParseReport reads and checks a report; an error names the field.
func ParseReport(body []byte) (*Report, error) {
	var r *Report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	switch {
	case r == nil:
		return nil, fmt.Errorf("body: not an object")
	case r.Host == "" || len(r.Host) > 100:
		return nil, fmt.Errorf("host: missing or too long")
	case r.Build == "":
		return nil, fmt.Errorf("build: missing")
	case r.Zone == "":
		return nil, fmt.Errorf("valley: missing")
	case r.Watch == 0:
		return nil, fmt.Errorf("watch: missing")
	case r.Recall != nil && math.IsNaN(*r.Recall):
		return nil, fmt.Errorf("recallS: not a number")
	}
	for _, c := range r.Host {
		if c <= ' ' || c == '/' || c > '~' {
			return nil, fmt.Errorf("host: bad character")
		}
	}
	for i, t := range r.Tasks {
		if t.Task == "" || t.Status == "" {
			return nil, fmt.Errorf("shifts[%d]: incomplete", i)
		}
	}
	return r, nil
}

// Verbs of orders.
const (
	Launch = "launch"
	Halt   = "halt"
	Forget = "forget"
)

// Order is a command to a worker.
type Order struct {
	Verb   string   `json:"verb"`
	Task   string   `json:"shift"`
	Try    uint64   `json:"try"`
	Leeway *float64 `json:"leewayS,omitempty"`
}

// Answer is the response to a report.
type Answer struct {
	Baton  uint64  `json:"baton"`
	Orders []Order `json:"orders"`
}

// Record is a worker's durable record: the share that owns it.
type Record struct {
	Share string `json:"share"`
	Addr  string `json:"addr"`
	Build string `json:"build"`
	Zone  string `json:"zone"`
	Spot  bool   `json:"spot"`
	// SinceMS is the time of day (Unix ms) of its first report.
	SinceMS int64 `json:"at"`
}
