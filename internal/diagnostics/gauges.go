package diagnostics

import (
	"time"

	"cherrywall/internal/featuregate"
)

// Gauges returns the values of the controller's gauges by metric name, without the prefix
// "cherrywall_". The gauges of the reconciliation ("start_...") are missing if this controller owns
// no shard.
func (r *Reporter) Gauges(now time.Time) map[string]float64 {
	gauges := map[string]float64{
		"jobs_unfinished":         0,
		"tasks_unclaimed":         0,
		"tasks_here":              0,
		"workers_here":            0,
		"upgrade_open":            0,
		"shares_held":             float64(len(r.deps.Membership.LocalShards())),
		"state_silent_seconds":    now.Sub(r.deps.Cache.LastContactAt()).Seconds(),
		"quota_unknown_tasks":     0,
		"jobs_waiting_for_others": float64(r.deps.State.Dependencies().BlockedCount()),
	}
	if r.deps.FeatureGate.IsOpen(featuregate.Latest) {
		gauges["upgrade_open"] = 1
	}
	for job := range r.deps.State.Jobs() {
		if !job.HasEnded() {
			gauges["jobs_unfinished"]++
			gauges["tasks_unclaimed"] += float64(job.Record().UnclaimedCount())
		}
	}
	for _, view := range r.deps.Reconciler.Views(now) {
		gauges["start_machines_waited_for"] += float64(view.UnconfirmedWorkers)
		gauges["start_tasks_unaccounted"] += float64(view.UnaccountedTasks)
	}
	_, machines := r.deps.State.Sizes()
	gauges["workers"] = float64(machines)
	for _, machine := range r.deps.State.OwnedMachines() {
		gauges["workers_here"]++
		gauges["tasks_here"] += float64(machine.AssignmentCount())
	}
	for _, usage := range r.deps.Claims.QuotaUsages() {
		gauges["quota_unknown_tasks"] += float64(usage.UnknownTasks)
	}
	for invariant, count := range r.deps.Violations.Counts() {
		gauges["violations_"+string(invariant)+"_total"] = float64(count)
	}
	gauges["decisions_total"] = float64(r.deps.Decisions.Count())
	return gauges
}
