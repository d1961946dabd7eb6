package pipelinerun

import "cherrywall/internal/kvstore"

// resourceGroup is a resource group that a job owns. Of all jobs of a group, in all runs, only the
// owner may be in progress.
type resourceGroup struct {
	groupOwner
	revision uint64 // of its record
}

// acquireGroup reports whether a job owns its group, and begins to acquire it if it is free or its
// owner has finished. A later step finds it acquired.
func (l *Leader) acquireGroup(run *runState, job int) bool {
	key := groupKey(run.execution.Plan.Jobs[job].Group)
	group, taken := l.resourceGroups[key]
	if taken && group.Run == run.id && group.Job == job {
		return true
	}
	// A run that is not known here has finished: its record was written before that of the group.
	isOwnerInProgress := taken && l.runs[group.Run] != nil && !l.groupOwnerFinished(group)
	if isOwnerInProgress {
		return false
	}
	owner := groupOwner{Run: run.id, Job: job}
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: group.revision}, run.unchanged(), run.ownedUnder(run.epoch)},
		Writes:     []kvstore.Write{{Key: key, Value: kvstore.Encode(owner)}},
	}
	l.commitRunTxn(run, txn, func(revision uint64) {
		l.resourceGroups[key] = resourceGroup{groupOwner: owner, revision: revision}
	})
	return false
}

// groupOwnerFinished reports whether a group's owner is led here and has finished.
func (l *Leader) groupOwnerFinished(group resourceGroup) bool {
	run := l.runs[group.Run]
	return run != nil && run.epoch != 0 && run.jobIsFinal(group.Job)
}

func (r *runState) jobIsFinal(job int) bool {
	return r.execution != nil && r.execution.JobStates[job].Status.IsFinal()
}

// releaseGroups begins to release a group that the run owns for a job that has finished; one at a
// time, since a run has one write in flight at most.
func (l *Leader) releaseGroups(run *runState) {
	for key, group := range l.resourceGroups {
		isReleasable := group.Run == run.id && run.jobIsFinal(group.Job)
		if !isReleasable || run.writeInFlight {
			continue
		}
		txn := kvstore.Txn{
			Conditions: []kvstore.Condition{{Key: key, Revision: group.revision}},
			Writes:     []kvstore.Write{{DeleteKey: key}},
		}
		l.commitRunTxn(run, txn, func(revision uint64) { l.applyDelete(key, revision) })
	}
}
