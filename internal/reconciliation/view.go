package reconciliation

import (
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// View describes the recovery of a shard to operators. Durations are in seconds.
type View struct {
	Shard              string         `json:"share"`
	Stage              string         `json:"stage"`
	SinceS             float64        `json:"since_s"`        // time since the shard was acquired
	ReconciledAfterS   float64        `json:"settled_s"`      // time from the acquisition to the end of the recovery; 0 if the recovery has not ended
	RecordedWorkers    int            `json:"machines"`       // number of workers that had a record when the shard was acquired
	ConfirmedWorkers   int            `json:"heard"`          // number of confirmed workers, including workers that registered after the acquisition
	UnconfirmedWorkers int            `json:"waits_for"`      // number of workers that are neither confirmed nor lost
	UnconfirmedSample  []string       `json:"some,omitempty"` // host names, tuning.MaxListedNames at most
	LongestWaitS       float64        `json:"within_s"`       // time until the leases of all unconfirmed workers have expired
	UnaccountedTasks   int            `json:"unaccounted"`    // number of tasks whose location is unknown
	Discrepancies      map[string]int `json:"outcomes"`       // number of occurrences of each discrepancy, by name
	CommandsSent       map[string]int `json:"orders"`         // number of commands by verb, counted for tuning.AcquisitionTrackingPeriod after the acquisition
}

// Views returns the recoveries of the local shards.
func (r *Reconciler) Views(now time.Time) []View {
	views := []View{}
	for _, shard := range r.Membership.LocalShards() {
		views = append(views, r.view(shard, now))
	}
	return views
}

func (r *Reconciler) view(shard *membership.Shard, now time.Time) View {
	recovery := r.recoveryOf(shard)
	stage := r.stage(shard)
	view := View{
		Shard:            shard.ID(),
		Stage:            stage.String(),
		SinceS:           now.Sub(recovery.acquiredAt).Seconds(),
		RecordedWorkers:  recovery.recordedWorkerCount,
		ConfirmedWorkers: recovery.confirmedWorkerCount,
		Discrepancies:    recovery.discrepancyCounts(),
		CommandsSent:     recovery.commandsSent,
	}
	switch {
	case stage == StageReconciling:
		r.addPending(&view, shard, now)
	case stage == StageReconciled && !recovery.reconciledAt.IsZero():
		view.ReconciledAfterS = recovery.reconciledAt.Sub(recovery.acquiredAt).Seconds()
	}
	return view
}

func (r *Reconciler) stage(shard *membership.Shard) Stage {
	switch {
	case !r.Cache.HasReachedEpoch(shard):
		return StageReadingRecords
	case !shard.IsReconciled():
		return StageReconciling
	}
	return StageReconciled
}

// addPending adds to a view the unconfirmed workers for which the shard waits and the number of tasks
// whose location is unknown.
func (r *Reconciler) addPending(view *View, shard *membership.Shard, now time.Time) {
	var hosts []string
	for machine := range listUnconfirmed(r, shard) {
		hosts = append(hosts, machine.Host())
	}
	slices.Sort(hosts)
	view.UnconfirmedWorkers = len(hosts)
	view.UnconfirmedSample = hosts[:min(len(hosts), tuning.MaxListedNames)]
	view.LongestWaitS = max(0, r.cfg.PreviousOwnerExpiryDelay()-now.Sub(shard.KnownSince())).Seconds()
	for taskRange := range r.State.TaskRangesIn(shard.ID()) {
		if taskRange.IsOwned() {
			view.UnaccountedTasks += taskRange.CountTasks(clusterstate.TaskUnknown)
		}
	}
}
