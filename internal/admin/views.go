package admin

// Names of the views. The path of a view is /admin/v1/ followed by its name.
const (
	ViewShards         = "shares"
	ViewMembers        = "members"
	ViewHandovers      = "handovers"
	ViewReconciliation = "start"
	ViewWorkers        = "workers"
	ViewCapacities     = "counts"
	ViewJobs           = "jobs"
	ViewFleet          = "fleet"
	ViewUpgrade        = "upgrade"
	ViewFindings       = "doctor"
	ViewProblems       = "troubles"
	ViewQuotas         = "quotas"
	ViewDecisions      = "decisions"
)

// ViewNames are the names of all views.
var ViewNames = []string{
	ViewShards, ViewMembers, ViewHandovers, ViewReconciliation, ViewWorkers, ViewCapacities,
	ViewJobs, ViewFleet, ViewUpgrade, ViewFindings, ViewProblems, ViewQuotas, ViewDecisions,
}
