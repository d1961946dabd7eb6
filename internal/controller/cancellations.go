package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cherrywall/internal/decisionlog"
	"cherrywall/internal/membership"
	"cherrywall/internal/peer"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
)

// Once a user has been told that a job is cancelled, no task of the job starts (docs/recovery.md,
// "No start after a cancellation"). Therefore the answer waits until each controller that may start tasks
// of the job has notified its workers, or may no longer start tasks based on state from before the
// cancellation. A controller that has lost a shard may start tasks until it knows of the loss, so the
// previous owners of the shards count, too. If this controller does not know which shards have tasks of
// the job, all shards count.

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
	shards  []string // the shards that may have had tasks of the job
	waiters []func() // answer the requests about the job; called after the confirmation
}

// cancellationLog holds the cancellations that are announced to the peers, and those that are not
// confirmed yet.
type cancellationLog struct {
	recent []cancellation // announced to the peers, in the order in which they became known
	// completeAfter is the revision above which recent has all cancellations that a controller may have
	// to learn from this one.
	completeAfter    uint64
	unconfirmed      map[string]*unconfirmedCancellation // by job
	isCheckScheduled bool                                // confirmCancellations will run once tuning.CancellationConfirmPollInterval has passed
}

// findUnconfirmed returns the unconfirmed cancellation of a job, nil if there is none.
func (l *cancellationLog) findUnconfirmed(ref string) *unconfirmedCancellation {
	return l.unconfirmed[ref]
}

// add adds a cancellation that is to be announced. If there are more than
// tuning.MaxAnnouncedCancellations, it drops the oldest.
func (l *cancellationLog) add(cancelledJob cancellation) {
	l.recent = append(l.recent, cancelledJob)
	if excess := len(l.recent) - tuning.MaxAnnouncedCancellations; excess > 0 {
		for _, dropped := range l.recent[:excess] {
			l.completeAfter = max(l.completeAfter, dropped.revision)
		}
		l.recent = slices.Delete(l.recent, 0, excess)
	}
}

// dropOldCancellations drops the cancellations that need not be announced any longer: those that all peers
// have applied after tuning.CancellationAnnouncePeriod, and those so old that a controller without
// knowledge of them may not start any task, whatever its peers say.
func (c *Controller) dropOldCancellations(now time.Time) {
	isKnownToPeers := func(revision uint64) bool {
		return !slices.ContainsFunc(c.members.Controllers(), func(node string) bool {
			return node != c.cfg.Node && !c.peers.HasApplied(node, revision)
		})
	}
	c.cancellations.recent = slices.DeleteFunc(c.cancellations.recent, func(cancelledJob cancellation) bool {
		age := now.Sub(cancelledJob.knownAt)
		isKnown := age > tuning.CancellationAnnouncePeriod && isKnownToPeers(cancelledJob.revision)
		return isKnown || age > c.cfg.PreviousOwnerExpiryDelay()
	})
}

// recordCancellation records that a job is cancelled, so that the peers are notified and users are answered only
// after the confirmation. The cache calls recordCancellation when it learns of the cancellation, before it removes
// the job's claims from the cluster state.
func (c *Controller) recordCancellation(learned statecache.JobCancellation) {
	now := time.Now()
	if c.cache.IsKnownToAll(learned.Revision, now) {
		return
	}
	cancelledJob := cancellation{learned.Ref, learned.DoneTasks, learned.Revision, now}
	c.cancellations.add(cancelledJob)
	shards := c.shardsWithTasks(learned)
	if len(shards) == 0 {
		return
	}
	c.cancellations.unconfirmed[learned.Ref] = &unconfirmedCancellation{cancellation: cancelledJob, shards: shards}
	// The change that is being applied now removes the claims, and only then do the worker sessions stop
	// the job's tasks. So the workers are notified in a later message of the mailbox.
	c.mailbox.SendAfter(time.Millisecond, func() {
		c.sessions.SendCancellations(time.Now())
		c.sendHeartbeats()
		c.confirmCancellations()
	})
}

// shardsWithTasks returns the shards that may have had tasks of a job when the job was cancelled.
func (c *Controller) shardsWithTasks(learned statecache.JobCancellation) []string {
	if !learned.AreClaimsKnown {
		return c.members.Controllers() // each controller is the home of a shard with its name
	}
	job := c.state.Job(learned.Ref)
	if job == nil {
		return nil
	}
	var shards []string
	for taskRange := range job.TaskRanges() {
		if id := taskRange.Record().Shard; !slices.Contains(shards, id) {
			shards = append(shards, id)
		}
	}
	return shards
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
		Reason:        fmt.Sprintf("known for %.3f s; shards that may have had tasks of the job: %v", now.Sub(pending.knownAt).Seconds(), pending.shards),
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
	for _, node := range c.members.Controllers() {
		if node != c.cfg.Node && !c.hasPeerConfirmed(node, pending, elapsed) && c.mayHaveTasks(node, pending, now) {
			return false
		}
	}
	return true
}

// mayHaveTasks reports whether another controller may act as the owner of tasks that a cancelled job had.
// As long as this controller has not applied all changes up to the cancellation, it may not know the
// owners of the shards at that time, so every controller may be one.
func (c *Controller) mayHaveTasks(node string, pending *unconfirmedCancellation, now time.Time) bool {
	if !c.cache.Synced() || c.cache.AppliedRevision() < pending.revision {
		return true
	}
	return slices.ContainsFunc(pending.shards, func(id string) bool {
		shard := c.members.Shard(id)
		return shard != nil && c.mayActAsOwner(node, shard, now)
	})
}

// mayActAsOwner reports whether another controller may start tasks in a shard: it is the owner, or it may
// have been an earlier owner and may not know yet that the shard has been acquired since.
func (c *Controller) mayActAsOwner(node string, shard *membership.Shard, now time.Time) bool {
	if shard.Owner() == node {
		return true
	}
	isAcquisitionKnown := now.Sub(shard.KnownSince()) >= c.cfg.CancellationEffectiveDelay() || c.peers.HasApplied(node, shard.Epoch())
	return !isAcquisitionKnown
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

// announcedCancellations returns the cancellations to announce in the heartbeat to the peers. completeAfter
// is the revision above which they are all that a peer may have to learn from this controller.
func (c *Controller) announcedCancellations(now time.Time) (announcedJobs []peer.CancelledJob, completeAfter uint64) {
	c.dropOldCancellations(now)
	for _, cancelledJob := range c.cancellations.recent {
		announcedJobs = append(announcedJobs, peer.CancelledJob{
			Ref:             cancelledJob.ref,
			Revision:        cancelledJob.revision,
			CompletedTasks:  cancelledJob.doneTasks,
			WorkersNotified: now.Sub(cancelledJob.knownAt) >= tuning.CancellationConfirmWait || !c.sessions.HasUnconfirmedStop(cancelledJob.ref),
		})
	}
	return announcedJobs, max(c.cancellations.completeAfter, c.cache.LoadedRevision())
}
