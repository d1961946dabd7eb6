package workersession

import (
	"math/rand/v2"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/reachability"
	"cherrywall/internal/tuning"
)

// checkReachability inspects a few workers if those that should send heartbeats do not, see
// reachability.Monitor.
func (m *Manager) checkReachability(now time.Time) {
	m.inbound.Tick(now)
	if m.Cache.IsStale(now) {
		return
	}
	reporting := 0
	for _, machine := range m.State.OwnedMachines() {
		if machine.HasReported() && !machine.IsLost() && !machine.IsReleasing() {
			reporting++
		}
	}
	if m.inbound.ShouldProbe(now, reporting, config.Seconds(m.cfg.Cluster.Workers.HeartbeatIntervalSeconds)) {
		m.inspectSample(now)
	}
}

// inspectSample asks a few workers, of any shard, for their heartbeat. The goroutines end with the client's
// timeout, or with the mailbox's context.
func (m *Manager) inspectSample(now time.Time) {
	if m.workers == nil {
		return
	}
	addrs := m.sampleWorkerAddrs()
	if len(addrs) == 0 {
		return
	}
	m.inbound.ProbeStarted()
	go func() {
		answers := make(chan bool, len(addrs))
		for _, addr := range addrs {
			go func() { answers <- m.workers.Inspect(m.mailbox.Context(), addr) == nil }()
		}
		anyAnswered := false
		for range addrs {
			anyAnswered = <-answers || anyAnswered
		}
		m.mailbox.Send(func() { m.sampleInspected(anyAnswered, now) })
	}()
}

// sampleWorkerAddrs returns the addresses of a random sample of the workers that may be there.
func (m *Manager) sampleWorkerAddrs() []string {
	var addrs []string
	for machine := range m.State.Machines() {
		if machine.Record().Addr != "" && !machine.IsLost() && !machine.IsReleased() {
			addrs = append(addrs, machine.Record().Addr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), tuning.ReachabilityProbeWorkers)]
}

// sampleInspected gives up the shards of this controller if it can reach no worker and a peer may, and
// takes part again when it can.
func (m *Manager) sampleInspected(anyAnswered bool, startedAt time.Time) {
	now := time.Now()
	switch m.inbound.ProbeFinished(anyAnswered, startedAt, now, m.Membership.HasLivePeer()) {
	case reachability.Unreachable:
		m.log.Info("no worker reachable, releasing shards", "since_last_contact_s", m.inbound.SinceLastContact(now).Seconds())
		m.Cache.ReleaseLiveness()
	case reachability.Restored:
		m.log.Info("workers reachable again")
		m.Cache.ResumeLiveness()
	}
}
