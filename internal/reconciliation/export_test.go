package reconciliation

import (
	"iter"
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/membership"
)

// SkipUnconfirmedWorkers is for mutation tests: it makes every shard wait for none of its workers. The
// returned function restores the correct code.
func SkipUnconfirmedWorkers() (restore func()) {
	listUnconfirmed = func(*Reconciler, *membership.Shard) iter.Seq[*clusterstate.Machine] {
		return slices.Values([]*clusterstate.Machine(nil))
	}
	return func() { listUnconfirmed = (*Reconciler).unconfirmedWorkers }
}

// IgnoreLeaseRenewals is for mutation tests: it makes the expiry of a worker's lease depend only on the
// time of the shard's acquisition, and not on the responses that this controller has sent the worker
// since the acquisition. The returned function restores the correct code.
func IgnoreLeaseRenewals() (restore func()) {
	isLeaseExpired = func(r *Reconciler, shard *membership.Shard, _ *clusterstate.Machine, now time.Time) bool {
		return now.Sub(shard.KnownSince()) > r.cfg.PreviousOwnerExpiryDelay()
	}
	return func() { isLeaseExpired = (*Reconciler).leaseExpired }
}
