package workersession

import (
	"math/rand/v2"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/reachability"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// What is asked of workers: the answers to greetings, and whether they can be reached at all.

// AgentEpoch returns the agent epoch of a worker's last heartbeat, 0 if there was none.
func (k *Manager) AgentEpoch(machine *clusterstate.Machine) uint64 {
	return k.lastHeartbeats[machine.Host()].agentEpoch
}

// ProbeAnswered takes the answer in, if the worker is still commanded by the token
// that it was shown.
func (k *Manager) ProbeAnswered(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, fencingToken uint64) {
	shard := k.State.OwnedShard(machine)
	at := heartbeatID{heartbeat.AgentEpoch, heartbeat.Sequence}
	if shard == nil || !k.State.IsCurrentMachine(machine) || machine.HasReported() || machine.IsLost() || max(shard.Epoch(), machine.Revision()) != fencingToken ||
		heartbeat.Host != machine.Host() || heartbeat.FencingToken != fencingToken || heartbeat.AgentEpoch <= k.sessionOf(machine).closedEpoch || at.notAfter(k.lastHeartbeats[machine.Host()]) {
		return
	}
	k.ApplyHeartbeat(machine, heartbeat, time.Now())
}

// checkReachability asks a few workers for their report if those that should report do
// not: see hearing.Ear.
func (k *Manager) checkReachability(now time.Time) {
	k.inbound.Tick(now)
	if k.Cache.IsStale(now) {
		return
	}
	n := 0
	for _, machine := range k.State.OwnedMachines() {
		if machine.HasReported() && !machine.IsLost() && !machine.IsReleasing() {
			n++
		}
	}
	if k.inbound.ShouldProbe(now, n, config.Seconds(k.cfg.Cluster.Workers.ReportS)) {
		k.inspectSample(now)
	}
}

// inspectSample asks a few workers, of any share, for their report.
func (k *Manager) inspectSample(now time.Time) {
	if k.workers == nil {
		return
	}
	var addrs []string
	for machine := range k.State.Machines() { // each of them as likely as the others
		if machine.Record().Addr != "" && !machine.IsLost() && !machine.IsReleased() {
			addrs = append(addrs, machine.Record().Addr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	addrs = addrs[:min(len(addrs), tuning.ReachabilityProbeWorkers)]
	if len(addrs) == 0 {
		return
	}
	k.inbound.ProbeStarted()
	go func() {
		answers := make(chan bool, len(addrs))
		for _, addr := range addrs {
			go func() { answers <- k.workers.Inspect(k.mailbox.Context(), addr) == nil }()
		}
		any := false
		for range addrs {
			any = <-answers || any
		}
		k.mailbox.Send(func() { k.sampleInspected(any, now) })
	}()
}

func (k *Manager) sampleInspected(any bool, asked time.Time) {
	now := time.Now()
	switch k.inbound.ProbeFinished(any, asked, now, k.Membership.HasLivePeer()) {
	case reachability.Unreachable:
		k.log.Info("no worker can be reached: shares are left to others", "silent_s", k.inbound.SinceLastContact(now).Seconds())
		k.Cache.ReleaseLiveness()
	case reachability.Restored:
		k.log.Info("workers can be reached again")
		k.Cache.ResumeLiveness()
	}
}
