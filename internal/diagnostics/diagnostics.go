// Package diagnostics describes the state of a controller to operators. It provides the views of
// the administration API, the findings of "cherrywall doctor", the lasting problems, the reasons
// why jobs wait, and the gauges of the metrics endpoint.
//
// A Reporter changes nothing. It reads the components of the controller without locks, so all its
// methods must be called on the goroutine of the controller that owns these components.
package diagnostics

import (
	"log/slog"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/claims"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/failuredetector"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/featuregate"
	"cherrywall/internal/handover"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/membership"
	"cherrywall/internal/peerstatus"
	"cherrywall/internal/reconciliation"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workersession"
)

// Dependencies are the components of the controller that a Reporter reads.
type Dependencies struct {
	State        *clusterstate.State
	Membership   *membership.Table
	Cache        *statecache.Cache
	Scheduler    *scheduler.Scheduler
	Sessions     *workersession.Manager
	Reconciler   *reconciliation.Reconciler
	Handover     *handover.Coordinator
	MachineTypes *machinetype.Catalog
	Faults       *faultattribution.Attributor
	Peers        *peerstatus.Tracker
	Detector     *failuredetector.Detector
	FeatureGate  *featuregate.Gate
	Claims       *claims.Writer
	Decisions    *decisionlog.Log
	Violations   *decisionlog.Violations
	// IsLeaving reports whether this controller is shutting down.
	IsLeaving func() bool
}

// Reporter describes the state of one controller to operators.
type Reporter struct {
	cfg              *config.Config
	deps             Dependencies
	log              *slog.Logger
	problemsLoggedAt time.Time
}

// New returns a reporter that reads from deps.
func New(cfg *config.Config, deps Dependencies, log *slog.Logger) *Reporter {
	return &Reporter{cfg: cfg, deps: deps, log: log}
}

// View returns the view with the given name as a value to be encoded as JSON. The name is one of
// admin.ViewNames; View returns nil for any other name.
func (r *Reporter) View(name string, now time.Time) any {
	switch name {
	case admin.ViewShards:
		return r.shards()
	case admin.ViewMembers:
		return r.members(now)
	case admin.ViewHandovers:
		return r.deps.Handover.Transfers(now)
	case admin.ViewReconciliation:
		return r.deps.Reconciler.Views(now)
	case admin.ViewWorkers:
		return r.workers()
	case admin.ViewCapacities:
		return r.deps.Scheduler.CapacityTable()
	case admin.ViewJobs:
		return r.jobs(now)
	case admin.ViewFleet:
		return r.fleet()
	case admin.ViewUpgrade:
		return r.upgrade()
	case admin.ViewFindings:
		return r.findings(now)
	case admin.ViewProblems:
		return r.problems(now)
	case admin.ViewQuotas:
		return r.deps.Claims.QuotaUsages()
	case admin.ViewDecisions:
		return r.deps.Decisions.Latest(tuning.DecisionsShown)
	}
	return nil
}
