package reconciliation

import (
	"iter"
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/membership"
)

// SkipUnconfirmedWorkers is the broken variant: a share waits for none of its workers. The
// returned function mends it.
func SkipUnconfirmedWorkers() (mend func()) {
	listUnconfirmed = func(*Reconciler, *membership.Shard) iter.Seq[*clusterstate.Machine] {
		return slices.Values([]*clusterstate.Machine(nil))
	}
	return func() { listUnconfirmed = (*Reconciler).unconfirmedWorkers }
}

// IgnoreLeaseRenewals is another: a worker is taken for gone by the time of the taking alone, whatever
// this holder has answered it since.
func IgnoreLeaseRenewals() (mend func()) {
	isLeaseExpired = func(k *Reconciler, shard *membership.Shard, _ *clusterstate.Machine, now time.Time) bool {
		return now.Sub(shard.KnownSince()) > k.cfg.PreviousOwnerExpiryDelay()
	}
	return func() { isLeaseExpired = (*Reconciler).leaseExpired }
}
