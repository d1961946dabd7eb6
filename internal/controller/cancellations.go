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

// No task of a job starts once its user was answered that it is cancelled (docs/recovery.md, "No start
// after a cancellation"). So the answer waits until every controller that owns tasks of the job has
// notified its workers, or may no longer start tasks from what it knew before the cancellation.

// cancellation is a cancelled job, as it is announced to the peers.
type cancellation struct {
	ref       string
	doneTasks int
	revision  uint64    // of the final state that cancelled it
	knownAt   time.Time // when it became known here
}

// unconfirmedCancellation is a cancellation that no user is answered yet: a worker may still be
// commanded to start a task of the job.
type unconfirmedCancellation struct {
	cancellation
	owners  map[string]bool // other controllers that owned tasks of the job
	waiters []func()        // requests about the job, to be answered after the confirmation
}

// cancellationLog has the cancellations that are announced to the peers, and those that wait for their
// confirmation.
type cancellationLog struct {
	recent           []cancellation                      // announced to the peers, the latest last
	unconfirmed      map[string]*unconfirmedCancellation // by job
	isCheckScheduled bool                                // confirmCancellations will run after its poll interval
}

// pending returns the unconfirmed cancellation of a job, nil if there is none.
func (l *cancellationLog) pending(ref string) *unconfirmedCancellation { return l.unconfirmed[ref] }

// dropExpired drops the cancellations that have been announced to the peers for long enough.
func (l *cancellationLog) dropExpired(now time.Time) {
	l.recent = slices.DeleteFunc(l.recent, func(c cancellation) bool {
		return now.Sub(c.knownAt) > tuning.CancellationAnnouncePeriod
	})
}

// noteCancellation is called when a job becomes known to be cancelled, before its claims are
// removed from the cluster state.
func (c *Controller) noteCancellation(ref string, doneTasks int, revision uint64) {
	now := time.Now()
	cancelled := cancellation{ref, doneTasks, revision, now}
	c.cancellations.dropExpired(now)
	c.cancellations.recent = append(c.cancellations.recent, cancelled)
	job := c.state.Job(ref)
	if job == nil || job.HasEnded() || !c.cache.Synced() {
		return
	}
	owners, isPlacedHere := c.taskOwners(job)
	if !isPlacedHere && len(owners) == 0 {
		return
	}
	c.cancellations.unconfirmed[ref] = &unconfirmedCancellation{cancellation: cancelled, owners: owners}
	// The claims are removed by the change that is being applied now. Only then are the job's tasks ones
	// to be stopped, so the workers are notified in a later message.
	c.mailbox.SendAfter(time.Millisecond, func() {
		c.sessions.SendCancellations(time.Now())
		c.sendHeartbeats()
		c.confirmCancellations()
	})
}

// taskOwners returns the other controllers that own tasks of a job, and whether any task is placed
// on a worker of this one.
func (c *Controller) taskOwners(job *clusterstate.Job) (others map[string]bool, isPlacedHere bool) {
	others = map[string]bool{}
	for taskRange := range job.TaskRanges() {
		shard := c.members.Shard(taskRange.Record().Shard)
		switch {
		case shard == nil:
		case shard.IsLocal():
			isPlacedHere = isPlacedHere || taskRange.CountTasks(clusterstate.TaskPlaced) > 0
		default:
			others[shard.Owner()] = true
		}
	}
	return others, isPlacedHere
}

// confirmCancellations answers the requests about jobs whose cancellation is confirmed, and runs
// again later if there are others.
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
		Reason:        fmt.Sprintf("known for %.3f s; tasks of %d other owners", now.Sub(pending.knownAt).Seconds(), len(pending.owners)),
	})
}

// isConfirmed reports whether no task of a cancelled job will be started any more, as far as a
// controller can prevent it.
func (c *Controller) isConfirmed(pending *unconfirmedCancellation, now time.Time) bool {
	elapsed := now.Sub(pending.knownAt)
	if elapsed < tuning.CancellationConfirmWait && c.sessions.HasUnconfirmedStop(pending.ref) {
		return false
	}
	if elapsed >= c.cfg.CancellationEffectiveDelay() {
		return true // no owner may start tasks any more from what it knew before the cancellation
	}
	for node := range pending.owners {
		if !c.hasPeerConfirmed(node, pending, elapsed) {
			return false
		}
	}
	return true
}

// hasPeerConfirmed reports whether another controller has notified its workers of a cancellation; or
// has applied it, and tuning.CancellationConfirmWait is over.
func (c *Controller) hasPeerConfirmed(node string, pending *unconfirmedCancellation, elapsed time.Duration) bool {
	if c.peers.HasNotifiedWorkers(node, pending.ref) {
		return true
	}
	return elapsed >= tuning.CancellationConfirmWait && c.peers.HasApplied(node, pending.revision)
}

// applyPeerCancellations applies the cancellations that another controller announces, which arrive
// before the watch delivers them if it lags.
func (c *Controller) applyPeerCancellations(cancelled []peer.CancelledJob, now time.Time) {
	for _, job := range cancelled {
		c.cache.ApplyPeerCancellation(job.Ref, job.CompletedTasks, job.Revision)
	}
	if len(cancelled) > 0 {
		c.sessions.SendCancellations(now)
		c.confirmCancellations()
	}
}

// announcedCancellations returns the latest cancellations for the heartbeat to the peers, at most
// tuning.MaxAnnouncedCancellations.
func (c *Controller) announcedCancellations(now time.Time) []peer.CancelledJob {
	c.cancellations.dropExpired(now)
	recent := c.cancellations.recent
	var announced []peer.CancelledJob
	for _, cancelled := range recent[max(0, len(recent)-tuning.MaxAnnouncedCancellations):] {
		announced = append(announced, peer.CancelledJob{
			Ref:             cancelled.ref,
			Revision:        cancelled.revision,
			CompletedTasks:  cancelled.doneTasks,
			WorkersNotified: now.Sub(cancelled.knownAt) >= tuning.CancellationConfirmWait || !c.sessions.HasUnconfirmedStop(cancelled.ref),
		})
	}
	return announced
}
