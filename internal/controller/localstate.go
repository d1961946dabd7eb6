package controller

import (
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/jobs"
)

// LocalState is the state of some jobs as this controller knows it, without a read of the key-value store.
type LocalState struct {
	Synced bool                // the cache has read all records
	Shards map[string]uint64   // epochs of the shards that this controller owns, by shard
	Jobs   map[string]LocalJob // by job, with an entry for each requested job
}

// LocalJob is a job in a LocalState. It is the zero value for a job that this controller does not know, and
// for a job whose cancellation is not confirmed yet.
type LocalJob struct {
	IsUnfinished bool
	Spec         jobs.Spec
	AcceptedAtMS int64 // Unix time in milliseconds
	IsFaulty     bool  // the job fails on several machines on which other jobs succeed
	DoneTasks    int
	ActiveTasks  int
	FinalStatus  jobs.Status // empty as long as the job is unfinished
}

// LocalState returns the state of jobs as this controller knows it; ok is false if the controller has
// ended. Shards and Jobs are empty if the cache is not synced, or if it is so old that this controller may
// not renew worker leases: another controller may own the shards by now, and the state could contradict
// what that controller does.
func (c *Controller) LocalState(refs []string) (result LocalState, ok bool) {
	return actor.Ask(c.mailbox, func() LocalState {
		now := time.Now()
		result := LocalState{Synced: c.cache.Synced(), Shards: map[string]uint64{}, Jobs: map[string]LocalJob{}}
		if !result.Synced || !c.cache.MayRenewWorkerLeases(now) {
			return result
		}
		for _, shard := range c.members.LocalShards() {
			if c.cache.HasReachedEpoch(shard) {
				result.Shards[shard.ID()] = shard.Epoch()
			}
		}
		for _, ref := range refs {
			result.Jobs[ref] = c.localJob(ref, now)
		}
		return result
	})
}

func (c *Controller) localJob(ref string, now time.Time) LocalJob {
	if c.cancellations.findUnconfirmed(ref) != nil {
		return LocalJob{} // a poll of the job is answered once the cancellation is confirmed
	}
	if job := c.state.Job(ref); job != nil && !job.HasEnded() {
		result := LocalJob{
			IsUnfinished: true,
			Spec:         job.Record().Spec,
			AcceptedAtMS: job.Record().AcceptedAtMS,
			IsFaulty:     c.faults.IsJobFaulty(ref) || c.peers.IsFaultyJob(ref, now),
		}
		result.DoneTasks, result.ActiveTasks = job.Progress()
		return result
	}
	if finalState, hasEnded := c.cache.CachedFinalState(ref); hasEnded {
		return LocalJob{FinalStatus: finalState.Status, DoneTasks: finalState.Tasks}
	}
	return LocalJob{}
}
