package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/cloud"
	"cherrywall/internal/tuning"
)

// scaleOutResult is the result of a scale-out request.
type scaleOutResult int

const (
	// scaledOut means that all requested machines will boot.
	scaledOut scaleOutResult = iota
	// capacityRefused means that the cloud provided fewer machines than requested. Other zones or
	// machine types may have capacity.
	capacityRefused
	// scaleOutFailed means that the request failed, but not for lack of capacity. Requests for
	// other zones or machine types would fail as well.
	scaleOutFailed
)

// String names the result.
func (r scaleOutResult) String() string {
	switch r {
	case scaledOut:
		return "scaled out"
	case capacityRefused:
		return "capacity refused"
	default:
		return "failed"
	}
}

// scaleOut requests machines and adds those that will boot to the pending ones.
func (a *Autoscaler) scaleOut(ctx context.Context, request cloud.ScaleOutRequest) scaleOutResult {
	a.requestCount++
	// The node makes the key unique among controllers, and the incarnation makes it unique after a
	// restart.
	request.IdempotencyKey = fmt.Sprintf("%s-%x-%d", a.node, a.incarnation, a.requestCount)
	group := capacity.Group{Zone: request.Zone, MachineType: request.MachineType, Spot: request.Spot}
	if time.Since(a.refusedAt[group]) < tuning.CapacityRefusalBackoff {
		return capacityRefused // an earlier request of the same plan was refused
	}
	hosts, err := a.provider.ScaleOut(ctx, request)
	if errors.Is(err, cloud.ErrUnavailable) {
		// A repetition with the same key starts nothing twice.
		hosts, err = a.provider.ScaleOut(ctx, request)
	}
	if errors.Is(err, cloud.ErrNoCapacity) {
		a.refusedAt[group] = time.Now()
		a.log.Info("no capacity", "machine_type", request.MachineType, "zone", request.Zone, "spot", request.Spot)
		return capacityRefused
	}
	if err != nil {
		a.log.Info("scale-out failed", "error", err)
		// The next cycle reads the machine list, which shows machines that were started despite the
		// error.
		a.listedAt = time.Time{}
		return scaleOutFailed
	}
	a.log.Info("machines requested", "machine_type", request.MachineType, "zone", request.Zone, "spot", request.Spot,
		"requested", request.Count, "received", len(hosts))
	for _, host := range hosts {
		a.pendingMachines[host] = &pendingMachine{group: group, requestedAt: time.Now()}
	}
	if len(hosts) < request.Count {
		a.refusedAt[group] = time.Now()
	}
	if len(hosts) != request.Count {
		return capacityRefused
	}
	return scaledOut
}
