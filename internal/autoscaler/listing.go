package autoscaler

import (
	"context"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/cloud"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/tuning"
)

// refreshListing reads the machine list and reviews it. After an error the next cycle reads the list
// again.
func (a *Autoscaler) refreshListing(ctx context.Context, demand scheduler.Demand) {
	listing, err := a.provider.List(ctx)
	if err != nil {
		a.log.Info("reading machine list failed", "error", err)
		return
	}
	a.listedAt = time.Now()
	a.updateBootTimes(demand)
	a.reviewListing(ctx, listing, demand)
}

// reviewListing releases machines that failed, that do not boot in time, or that have run for too long
// without sending a heartbeat, and adds unknown booting machines to the pending ones.
func (a *Autoscaler) reviewListing(ctx context.Context, listing []cloud.Machine, demand scheduler.Demand) {
	now := time.Now()
	var unusableHosts []string
	listedHosts := map[string]bool{}
	for _, machine := range listing {
		listedHosts[machine.Host] = true
		if a.reviewMachine(machine, demand, now) {
			unusableHosts = append(unusableHosts, machine.Host)
		}
	}
	a.dropUnlistedMachines(listedHosts, demand, now)
	a.releaseUnusableMachines(ctx, unusableHosts)
}

// reviewMachine updates what is known of a listed machine. It reports whether the machine is
// unusable and must be released.
func (a *Autoscaler) reviewMachine(machine cloud.Machine, demand scheduler.Demand, now time.Time) (unusable bool) {
	host := machine.Host
	_, isLive := demand.LiveMachines[host]
	bootTimeout := a.bootTimeoutSeconds(capacity.Group{MachineType: machine.MachineType, Zone: machine.Zone})
	switch {
	case machine.Status == cloud.StatusFailed:
		return true
	case isLive || demand.RecordedMachines[host]:
		delete(a.unreportedSince, host)
	case machine.Status == cloud.StatusBooting && machine.AgeS > bootTimeout:
		return true
	case a.reportedHosts[host]:
		// The machine has sent heartbeats and has been released since: the list lags behind.
	case machine.Status == cloud.StatusBooting:
		if a.pendingMachines[host] == nil {
			age := time.Duration(machine.AgeS * float64(time.Second))
			group := capacity.Group{Zone: machine.Zone, MachineType: machine.MachineType, Spot: machine.Spot}
			a.pendingMachines[host] = &pendingMachine{group: group, requestedAt: now.Add(-age)}
		}
	case a.unreportedSince[host].IsZero():
		// The machine runs, but its worker has sent no heartbeat yet.
		a.unreportedSince[host] = now
	default:
		return now.Sub(a.unreportedSince[host]).Seconds() > bootTimeout
	}
	return false
}

// dropUnlistedMachines drops the state of machines that the cloud no longer lists.
func (a *Autoscaler) dropUnlistedMachines(listedHosts map[string]bool, demand scheduler.Demand, now time.Time) {
	for host := range a.unreportedSince {
		if !listedHosts[host] {
			delete(a.unreportedSince, host)
		}
	}
	for host := range a.reportedHosts {
		if !listedHosts[host] && !demand.RecordedMachines[host] {
			delete(a.reportedHosts, host)
		}
	}
	for host, pending := range a.pendingMachines {
		// The machine was preempted or released before it sent a heartbeat.
		if !listedHosts[host] && now.Sub(pending.requestedAt) > 2*a.listLag+tuning.ListAbsenceMargin {
			delete(a.pendingMachines, host)
		}
	}
}

// releaseUnusableMachines releases unusable machines, at most as many as one request may name. The next
// review of the machine list finds the others again.
func (a *Autoscaler) releaseUnusableMachines(ctx context.Context, hosts []string) {
	if len(hosts) == 0 {
		return
	}
	hosts = hosts[:min(len(hosts), tuning.MaxScaleInPerRequest)]
	a.log.Info("releasing unusable machines", "workers", hosts)
	if err := a.provider.Release(ctx, hosts); err != nil {
		a.log.Info("machine release failed", "workers", hosts, "error", err)
		return
	}
	for _, host := range hosts {
		delete(a.pendingMachines, host)
		delete(a.unreportedSince, host)
	}
}
