package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/decisionlog"
	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// Once a user has been told that a job is cancelled, no task of the job starts (docs/recovery.md,
// "No start after a cancellation"). Therefore the answer waits until each controller that owns tasks of
// the job has notified its workers, or may no longer start tasks based on state from before the
// cancellation.

// cancellation describes a cancelled job. It is announced to the peers.
type cancellation struct {
	ref       string
	doneTasks int
	revision  uint64    // store revision of the final state that cancelled the job
	knownAt   time.Time // when this controller learned of the cancellation
}

// unconfirmedCancellation is a cancellation that must not be reported to users yet: a controller may
// still command a worker to start a task of the job.
type unconfirmedCancellation struct {
	cancellation
	owners  map[string]bool // other controllers that owned tasks of the job
	waiters []func()        // answer the requests about the job; called after the confirmation
}

// cancellationLog holds the cancellations that are announced to the peers, and those that are not
// confirmed yet.
type cancellationLog struct {
	recent           []cancellation                      // announced to the peers, in the order in which they became known
	unconfirmed      map[string]*unconfirmedCancellation // by job
	isCheckScheduled bool                                // confirmCancellations will run once tuning.CancellationConfirmPollInterval has passed
}

// findUnconfirmed returns the unconfirmed cancellation of a job, nil if there is none.
func (l *cancellationLog) findUnconfirmed(ref string) *unconfirmedCancellation {
	return l.unconfirmed[ref]
}

// dropExpired drops the cancellations that have been announced to the peers for longer than
// tuning.CancellationAnnouncePeriod.
func (l *cancellationLog) dropExpired(now time.Time) {
	l.recent = slices.DeleteFunc(l.recent, func(c cancellation) bool {
		return now.Sub(c.knownAt) > tuning.CancellationAnnouncePeriod
	})
}

// recordCancellation records that a job is cancelled, so that the peers are notified and users are answered only
// after the confirmation. The cache calls recordCancellation when it learns of the cancellation, before it removes
// the job's claims from the cluster state. doneTasks is the number of tasks that were done, and revision is the
// store revision of the final state.
func (c *Controller) recordCancellation(ref string, doneTasks int, revision uint64) {
	now := time.Now()
	cancelledJob := cancellation{ref, doneTasks, revision, now}
	c.cancellations.dropExpired(now)
	c.cancellations.recent = append(c.cancellations.recent, cancelledJob)
	job := c.state.Job(ref)
	if job == nil || job.HasEnded() || !c.cache.Synced() {
		return
	}
	owners, isPlacedLocally := c.taskOwners(job)
	if !isPlacedLocally && len(owners) == 0 {
		return
	}
	c.cancellations.unconfirmed[ref] = &unconfirmedCancellation{cancellation: cancelledJob, owners: owners}
	// The change that is being applied now removes the claims, and only then do the worker sessions stop
	// the job's tasks. So the workers are notified in a later message of the mailbox.
	c.mailbox.SendAfter(time.Millisecond, func() {
		c.sessions.SendCancellations(time.Now())
		c.sendHeartbeats()
		c.confirmCancellations()
	})
}

// taskOwners returns the other controllers that own tasks of a job, and whether any task of the job is
// placed on a worker of this controller.
func (c *Controller) taskOwners(job *clusterstate.Job) (otherOwners map[string]bool, isPlacedLocally bool) {
	otherOwners = map[string]bool{}
	for taskRange := range job.TaskRanges() {
		shard := c.members.Shard(taskRange.Record().Shard)
		switch {
		case shard == nil:
		case shard.IsLocal():
			isPlacedLocally = isPlacedLocally || taskRange.CountTasks(clusterstate.TaskPlaced) > 0
		default:
			otherOwners[shard.Owner()] = true
		}
	}
	return otherOwners, isPlacedLocally
}

// confirmCancellations answers the requests about jobs whose cancellation is confirmed. As long as any
// cancellation is unconfirmed, it runs again after each tuning.CancellationConfirmPollInterval.
func (c *Controller) confirmCancellations() {
	now := time.Now()
	for _, ref := range slices.Sorted(maps.Keys(c.cancellations.unconfirmed)) {
		pending := c.cancellations.unconfirmed[ref]
		if !c.isConfirmed(pending, now) {
			continue
		}
		delete(c.cancellations.unconfirmed, ref)
		c.recordConfirmation(pending, now)
		for _, answer := range pending.waiters {
			answer()
		}
	}
	if len(c.cancellations.unconfirmed) == 0 || c.cancellations.isCheckScheduled {
		return
	}
	c.cancellations.isCheckScheduled = true
	c.mailbox.SendAfter(tuning.CancellationConfirmPollInterval, func() {
		c.cancellations.isCheckScheduled = false
		c.confirmCancellations()
	})
}

// recordConfirmation adds the confirmation of a cancellation to the decision log.
func (c *Controller) recordConfirmation(pending *unconfirmedCancellation, now time.Time) {
	c.decisions.Add(decisionlog.Decision{
		Action:        decisionlog.CancellationConfirmed,
		Subject:       pending.ref,
		StoreRevision: pending.revision,
		KnownAt:       c.cache.ConsistentAsOf(),
		Reason:        fmt.Sprintf("known for %.3f s; %d other controllers owned tasks of the job", now.Sub(pending.knownAt).Seconds(), len(pending.owners)),
	})
}

// isConfirmed reports whether no controller will command the start of a task of a cancelled job any more.
// Once tuning.CancellationConfirmWait has passed, the workers no longer need to confirm that the job's
// tasks have stopped.
func (c *Controller) isConfirmed(pending *unconfirmedCancellation, now time.Time) bool {
	elapsed := now.Sub(pending.knownAt)
	if elapsed < tuning.CancellationConfirmWait && c.sessions.HasUnconfirmedStop(pending.ref) {
		return false
	}
	if elapsed >= c.cfg.CancellationEffectiveDelay() {
		return true // no controller may still start tasks based on state from before the cancellation
	}
	for node := range pending.owners {
		if !c.hasPeerConfirmed(node, pending, elapsed) {
			return false
		}
	}
	return true
}

// hasPeerConfirmed reports whether another controller has notified its workers of a cancellation. Once
// tuning.CancellationConfirmWait has passed, it suffices that the controller has applied the
// cancellation.
func (c *Controller) hasPeerConfirmed(node string, pending *unconfirmedCancellation, elapsed time.Duration) bool {
	if c.peers.HasNotifiedWorkers(node, pending.ref) {
		return true
	}
	return elapsed >= tuning.CancellationConfirmWait && c.peers.HasApplied(node, pending.revision)
}

// applyPeerCancellations applies the cancellations that another controller announces. If the watch of the
// key-value store lags, an announcement arrives before the watch delivers the cancellation.
func (c *Controller) applyPeerCancellations(cancelledJobs []peer.CancelledJob, now time.Time) {
	for _, job := range cancelledJobs {
		c.cache.ApplyPeerCancellation(job.Ref, job.CompletedTasks, job.Revision)
	}
	if len(cancelledJobs) > 0 {
		c.sessions.SendCancellations(now)
		c.confirmCancellations()
	}
}

// announcedCancellations returns the cancellations to announce in the heartbeat to the peers: the latest
// ones, at most tuning.MaxAnnouncedCancellations.
func (c *Controller) announcedCancellations(now time.Time) []peer.CancelledJob {
	c.cancellations.dropExpired(now)
	recent := c.cancellations.recent
	var announcedJobs []peer.CancelledJob
	for _, cancelledJob := range recent[max(0, len(recent)-tuning.MaxAnnouncedCancellations):] {
		announcedJobs = append(announcedJobs, peer.CancelledJob{
			Ref:             cancelledJob.ref,
			Revision:        cancelledJob.revision,
			CompletedTasks:  cancelledJob.doneTasks,
			WorkersNotified: now.Sub(cancelledJob.knownAt) >= tuning.CancellationConfirmWait || !c.sessions.HasUnconfirmedStop(cancelledJob.ref),
		})
	}
	return announcedJobs
}
