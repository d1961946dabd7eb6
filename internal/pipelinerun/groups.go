package pipelinerun

import "cherrywall/internal/kvstore"

// resourceGroup is a resource group that is owned by a job. Among the jobs of a group, which can
// belong to several runs, only the owner may be in progress.
type resourceGroup struct {
	groupOwner
	revision uint64 // revision of the group's record
}

// acquireGroup reports whether a job owns its group. If the group is free or its owner has
// finished, acquireGroup starts to acquire the group and returns false; a later call returns true if
// the acquisition succeeded.
func (l *Leader) acquireGroup(run *runState, job int) bool {
	key := groupKey(run.execution.Plan.Jobs[job].ResourceGroup)
	group, isTaken := l.resourceGroups[key]
	if isTaken && group.Run == run.id && group.Job == job {
		return true
	}
	// A run whose record is unknown has finished: the record of a run is written before the record
	// of a group that the run owns.
	isOwnerInProgress := isTaken && l.runs[group.Run] != nil && !l.isGroupOwnerFinished(group)
	if isOwnerInProgress {
		return false
	}
	owner := groupOwner{Run: run.id, Job: job}
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: group.revision}, run.recordUnchangedCondition(), run.shardEpochCondition(run.epoch)},
		Writes:     []kvstore.Write{{Key: key, Value: kvstore.MustEncode(owner)}},
	}
	l.commitRunTxn(run, txn, func(revision uint64) {
		l.resourceGroups[key] = resourceGroup{groupOwner: owner, revision: revision}
	})
	return false
}

// isGroupOwnerFinished reports whether a group's owner belongs to a run that this controller leads,
// and has finished.
func (l *Leader) isGroupOwnerFinished(group resourceGroup) bool {
	run := l.runs[group.Run]
	return run != nil && run.epoch != 0 && run.isJobFinal(group.Job)
}

func (r *runState) isJobFinal(job int) bool {
	return r.execution != nil && r.execution.JobStates[job].Status.IsFinal()
}

// releaseGroups starts to release a group that is owned by a finished job of the run. It releases
// one group at a time, since a run has at most one write in flight.
func (l *Leader) releaseGroups(run *runState) {
	for key, group := range l.resourceGroups {
		isReleasable := group.Run == run.id && run.isJobFinal(group.Job)
		if !isReleasable || run.isWriteInFlight {
			continue
		}
		txn := kvstore.Txn{
			Conditions: []kvstore.Condition{{Key: key, Revision: group.revision}},
			Writes:     []kvstore.Write{{DeleteKey: key}},
		}
		l.commitRunTxn(run, txn, func(revision uint64) { l.applyDelete(key, revision) })
	}
}
