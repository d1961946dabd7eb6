package autoscaler

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// ownerKey is the key of the record that names the controller which scales out. The record is attached
// to that controller's lease and is deleted when the lease expires.
const ownerKey = jobs.Prefix + "fleet/holder"

// leaseRenewalsPerTTL is the number of renewals of the lease in one time to live.
const leaseRenewalsPerTTL = 3

// ensureLease renews the autoscaler lease or tries to acquire it, and reports whether this
// controller holds it.
func (a *Autoscaler) ensureLease(ctx context.Context) bool {
	if a.leaseID != 0 {
		return a.renewLease(ctx)
	}
	return a.acquireLease(ctx)
}

// renewLease renews the lease when that is due, and reports whether this controller still holds it.
// If the renewal fails for another reason than the expiry of the lease, the next call retries it.
func (a *Autoscaler) renewLease(ctx context.Context) bool {
	now := time.Now()
	if now.Sub(a.leaseRenewedAt) < tuning.AutoscalerLeaseTTL/leaseRenewalsPerTTL {
		return true
	}
	err := a.store.KeepAlive(ctx, a.leaseID)
	if err == nil {
		a.leaseRenewedAt = now
		return true
	}
	if errors.Is(err, kvstore.ErrExpired) {
		a.leaseID = 0
	}
	return false
}

// acquireLease creates the owner record under a new lease, on the precondition that no other
// controller has created it, and reports whether it succeeded. The pending machines are cleared, and
// the next cycle learns them from the machine list.
func (a *Autoscaler) acquireLease(ctx context.Context) bool {
	now := time.Now()
	if owner, err := a.store.Get(ctx, kvstore.Background, ownerKey); err != nil || owner.Found {
		return false
	}
	leaseID, err := a.store.GrantLease(ctx, tuning.AutoscalerLeaseTTL)
	if err != nil {
		return false
	}
	value, err := json.Marshal(a.node)
	if err != nil {
		return false
	}
	result, err := a.store.Commit(ctx, kvstore.Normal, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: ownerKey}},
		Writes:     []kvstore.Write{{Key: ownerKey, Value: value, LeaseID: leaseID}},
	})
	if err != nil || !result.Succeeded {
		return false
	}
	a.log.Info("autoscaler lease acquired")
	a.leaseID, a.leaseRenewedAt = leaseID, now
	a.pendingMachines = map[string]*pendingMachine{}
	a.listedAt = time.Time{}
	return true
}
