package reconciliation

import (
	"iter"
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/membership"
)

// SkipUnconfirmedWorkers is a mutation: a shard waits for none of its workers. The returned function
// restores the correct code.
func SkipUnconfirmedWorkers() (restore func()) {
	listUnconfirmed = func(*Reconciler, *membership.Shard) iter.Seq[*clusterstate.Machine] {
		return slices.Values([]*clusterstate.Machine(nil))
	}
	return func() { listUnconfirmed = (*Reconciler).unconfirmedWorkers }
}

// IgnoreLeaseRenewals is a mutation: a worker's lease counts as expired by the time of the shard's
// acquisition alone, whatever this owner has answered the worker since. The returned function
// restores the correct code.
func IgnoreLeaseRenewals() (restore func()) {
	isLeaseExpired = func(r *Reconciler, shard *membership.Shard, _ *clusterstate.Machine, now time.Time) bool {
		return now.Sub(shard.KnownSince()) > r.cfg.PreviousOwnerExpiryDelay()
	}
	return func() { isLeaseExpired = (*Reconciler).leaseExpired }
}
