package controller

import (
	"maps"
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// No task of a job starts once its user was told that it is cancelled (docs/recovery.md, "No start
// after a cancellation"). So the answer waits until every controller that holds a part of the
// job has told its workers, or can't order a start any more: sessions.mayStart.

// cancellation is a job that was cancelled, as the other controllers are told.
type cancellation struct {
	ref       string
	doneTasks int
	revision  uint64
	knownAt   time.Time // when it became known here
}

// unconfirmedCancellation is a cancellation that no user is told of yet.
type unconfirmedCancellation struct {
	cancellation
	owners  map[string]bool // other controllers that held a part of the job
	waiters []func()        // questions about the job
}

// noteCancellation notes that a job is known to be cancelled, before its claims go from the books.
func (a *Controller) noteCancellation(ref string, done int, stamp uint64) {
	now := time.Now()
	a.recentCancellations = append(a.unexpiredCancellations(now), cancellation{ref, done, stamp, now})
	job := a.state.Job(ref)
	if job == nil || job.HasEnded() || !a.cache.Synced() {
		return
	}
	pending := &unconfirmedCancellation{cancellation: a.recentCancellations[len(a.recentCancellations)-1], owners: map[string]bool{}}
	mine := false
	for taskRange := range job.TaskRanges() {
		shard := a.members.Shard(taskRange.Record().Shard)
		if shard != nil && shard.IsLocal() {
			mine = mine || taskRange.CountTasks(clusterstate.TaskPlaced) > 0
		} else if shard != nil {
			pending.owners[shard.Owner()] = true
		}
	}
	if !mine && len(pending.owners) == 0 {
		return
	}
	a.unconfirmed[ref] = pending
	// The claims go from the books with this same change; then the workers are told.
	a.mailbox.SendAfter(time.Millisecond, func() {
		a.sessions.SendCancellations(time.Now())
		a.sendHeartbeats()
		a.confirmCancellations()
	})
}

// confirmCancellations answers the questions about jobs that are cancelled for certain.
func (a *Controller) confirmCancellations() {
	now := time.Now()
	for _, ref := range slices.Sorted(maps.Keys(a.unconfirmed)) {
		pending := a.unconfirmed[ref]
		if !a.isConfirmed(pending, now) {
			continue
		}
		delete(a.unconfirmed, ref)
		for _, answer := range pending.waiters {
			answer()
		}
	}
	if len(a.unconfirmed) > 0 && !a.confirmScheduled {
		a.confirmScheduled = true
		a.mailbox.SendAfter(tuning.CancellationConfirmPollInterval, func() {
			a.confirmScheduled = false
			a.confirmCancellations()
		})
	}
}

// isConfirmed tells whether nobody starts a task of a cancelled job any more, as far as a controller can
// prevent it.
func (a *Controller) isConfirmed(pending *unconfirmedCancellation, now time.Time) bool {
	since := now.Sub(pending.knownAt)
	if since < tuning.CancellationConfirmWait && a.sessions.HasUnconfirmedStop(pending.ref) {
		return false
	}
	for n := range pending.owners {
		if since < a.cfg.CancellationEffectiveDelay() && !a.peers.HasNotifiedWorkers(n, pending.ref) && !(since >= tuning.CancellationConfirmWait && a.peers.HasApplied(n, pending.revision)) {
			return false
		}
	}
	return true
}

// applyPeerCancellations takes in what another controller tells of cancellations.
func (a *Controller) applyPeerCancellations(all []peer.CancelledJob, now time.Time) {
	for _, c := range all {
		a.cache.ApplyPeerCancellation(c.Ref, c.CompletedTasks, c.Revision)
	}
	if len(all) > 0 {
		a.sessions.SendCancellations(now)
		a.confirmCancellations()
	}
}

func (a *Controller) unexpiredCancellations(now time.Time) []cancellation {
	return slices.DeleteFunc(a.recentCancellations, func(c cancellation) bool { return now.Sub(c.knownAt) > tuning.CancellationAnnouncePeriod })
}

// advertisedCancellations are the latest cancellations, as the others are told.
func (a *Controller) advertisedCancellations(now time.Time) []peer.CancelledJob {
	a.recentCancellations = a.unexpiredCancellations(now)
	var out []peer.CancelledJob
	for _, c := range a.recentCancellations[max(0, len(a.recentCancellations)-tuning.MaxAnnouncedCancellations):] {
		out = append(out, peer.CancelledJob{Ref: c.ref, Revision: c.revision, CompletedTasks: c.doneTasks,
			WorkersNotified: now.Sub(c.knownAt) >= tuning.CancellationConfirmWait || !a.sessions.HasUnconfirmedStop(c.ref)})
	}
	return out
}
