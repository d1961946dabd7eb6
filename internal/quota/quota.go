// Package quota keeps the quotas of teams: the most that the running tasks of a team may take in
// all. A quota is split into durable allocations of the shards, whose sum never exceeds it. Only
// the owner of a shard changes the shard's allocation, by a write whose precondition is the
// shard's epoch: it acquires from what is unallocated, and releases what it has no use for.
package quota

import (
	"math"

	"cherrywall/internal/capacity"
	"cherrywall/internal/config"
)

// Record is how a team's quota is allocated. What is not in it is unallocated.
type Record struct {
	ByShard map[string]Amount `json:"by"`
}

// Total returns what all shards have together.
func (r Record) Total() Amount {
	var total Amount
	for _, amount := range r.ByShard {
		total = total.Add(amount)
	}
	return total
}

// Amount is an amount of the limited resources.
type Amount struct {
	CPU float64 `json:"cpu,omitempty"` // cores
	GPU float64 `json:"gpu,omitempty"` // devices
}

// Tolerance is by how much a sum of amounts may exceed a quota, for the rounding of floating
// point numbers.
const Tolerance = 1e-6

// Add returns the sum.
func (a Amount) Add(b Amount) Amount { return Amount{a.CPU + b.CPU, a.GPU + b.GPU} }

// Sub returns the difference, which may be negative.
func (a Amount) Sub(b Amount) Amount { return Amount{a.CPU - b.CPU, a.GPU - b.GPU} }

// NonNegative returns the amount with negative parts set to 0.
func (a Amount) NonNegative() Amount { return Amount{max(0, a.CPU), max(0, a.GPU)} }

// Covers reports whether the amount is at least another, within Tolerance.
func (a Amount) Covers(b Amount) bool {
	return b.CPU <= a.CPU+Tolerance && b.GPU <= a.GPU+Tolerance
}

// IsNegligible reports whether no part of the amount exceeds Tolerance.
func (a Amount) IsNegligible() bool { return a.CPU <= Tolerance && a.GPU <= Tolerance }

// IsLimited reports whether a team has a quota.
func IsLimited(team config.Team) bool { return team.MaxCPUs > 0 || team.MaxGPUs > 0 }

// LimitOf returns a team's quota. A resource with 0 is not limited.
func LimitOf(team config.Team) Amount { return Amount{team.MaxCPUs, team.MaxGPUs} }

// UsageOf returns what tasks take of a team's quota. Resources without a limit are left out.
func UsageOf(team config.Team, need capacity.Resources, tasks int) Amount {
	var usage Amount
	if team.MaxCPUs > 0 {
		usage.CPU = need.CPU * float64(tasks)
	}
	if team.MaxGPUs > 0 {
		usage.GPU = need.GPU * float64(tasks)
	}
	return usage
}

// IsWithinLimit reports whether an amount is within a team's quota. A resource without a limit always is.
func IsWithinLimit(team config.Team, amount Amount) bool {
	return (team.MaxCPUs <= 0 || amount.CPU <= team.MaxCPUs+Tolerance) && (team.MaxGPUs <= 0 || amount.GPU <= team.MaxGPUs+Tolerance)
}

// TasksThatFit returns how many tasks fit into an amount, each of which takes perTask:
// math.MaxInt32 if that is nothing.
func TasksThatFit(amount, perTask Amount) int {
	tasks := math.MaxInt32
	if perTask.CPU > 0 {
		tasks = min(tasks, int((amount.CPU+Tolerance)/perTask.CPU))
	}
	if perTask.GPU > 0 {
		tasks = min(tasks, int((amount.GPU+Tolerance)/perTask.GPU))
	}
	return max(0, tasks)
}
