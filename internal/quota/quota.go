// Package quota manages the quotas of teams. A quota is the maximum of the resources that all
// running tasks of a team may use together. It is split into durable allocations to the shards. The
// sum of these allocations never exceeds the quota. Only the owner of a shard changes the shard's
// allocation, by a write whose precondition is the shard's epoch: it acquires unallocated quota,
// and releases quota that the shard does not need.
package quota

import (
	"math"

	"cherrywall/internal/capacity"
	"cherrywall/internal/config"
)

// Record is the allocation of a team's quota to shards. Quota that is not in the record is unallocated.
type Record struct {
	ByShard map[string]Amount `json:"by"`
}

// Total returns the sum of the allocations of all shards.
func (r Record) Total() Amount {
	var total Amount
	for _, amount := range r.ByShard {
		total = total.Add(amount)
	}
	return total
}

// Amount is an amount of the resources that a quota can limit. It may be allocated, used or
// allowed.
type Amount struct {
	CPU float64 `json:"cpu,omitempty"` // cores
	GPU float64 `json:"gpu,omitempty"` // devices
}

// Tolerance is the amount (cores or devices) by which a sum of amounts may exceed a quota, to allow
// for floating-point rounding.
const Tolerance = 1e-6

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount { return Amount{a.CPU + b.CPU, a.GPU + b.GPU} }

// Sub returns the amount less another one. The result may be negative.
func (a Amount) Sub(b Amount) Amount { return Amount{a.CPU - b.CPU, a.GPU - b.GPU} }

// NonNegative returns the amount with negative parts set to 0.
func (a Amount) NonNegative() Amount { return Amount{max(0, a.CPU), max(0, a.GPU)} }

// Covers reports whether the amount is at least as large as another one, within Tolerance.
func (a Amount) Covers(b Amount) bool {
	return b.CPU <= a.CPU+Tolerance && b.GPU <= a.GPU+Tolerance
}

// IsNegligible reports whether no part of the amount exceeds Tolerance.
func (a Amount) IsNegligible() bool { return a.CPU <= Tolerance && a.GPU <= Tolerance }

// IsLimited reports whether a team has a quota.
func IsLimited(team config.Team) bool { return team.MaxCPUs > 0 || team.MaxGPUs > 0 }

// LimitOf returns a team's quota. A resource whose limit is 0 is unlimited.
func LimitOf(team config.Team) Amount { return Amount{team.MaxCPUs, team.MaxGPUs} }

// UsageOf returns how much of a team's quota a number of tasks use, each of which needs the given
// resources. Resources without a limit are left out.
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

// IsWithinLimit reports whether an amount is within a team's quota. Resources without a limit are
// not compared.
func IsWithinLimit(team config.Team, amount Amount) bool {
	return (team.MaxCPUs <= 0 || amount.CPU <= team.MaxCPUs+Tolerance) && (team.MaxGPUs <= 0 || amount.GPU <= team.MaxGPUs+Tolerance)
}

// TasksThatFit returns how many tasks fit into an amount if each task uses perTask. It returns
// math.MaxInt32 if perTask is zero.
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
