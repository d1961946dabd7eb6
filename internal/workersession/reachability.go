package workersession

import (
	"math/rand/v2"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/reachability"
	"cherrywall/internal/tuning"
)

// checkReachability inspects a few workers if the expected heartbeats do not arrive; reachability.Monitor
// decides when this is necessary.
func (m *Manager) checkReachability(now time.Time) {
	m.reachabilityMonitor.Tick(now)
	if m.Cache.IsStale(now) {
		return
	}
	reportingWorkerCount := 0
	for _, machine := range m.State.OwnedMachines() {
		if machine.HasReported() && !machine.IsLost() && !machine.IsReleasing() {
			reportingWorkerCount++
		}
	}
	if m.reachabilityMonitor.ShouldProbe(now, reportingWorkerCount, config.Seconds(m.cfg.Cluster.Workers.HeartbeatIntervalSeconds)) {
		m.inspectSample(now)
	}
}

// inspectSample asks a random sample of the workers of all shards for their heartbeats. The goroutines end when the
// client's timeout has passed or the context of the mailbox is cancelled.
func (m *Manager) inspectSample(now time.Time) {
	if m.workerClient == nil {
		return
	}
	addrs := m.sampleWorkerAddrs()
	if len(addrs) == 0 {
		return
	}
	m.reachabilityMonitor.RecordProbeStart()
	go func() {
		answers := make(chan bool, len(addrs))
		for _, addr := range addrs {
			go func() { answers <- m.workerClient.Inspect(m.mailbox.Context(), addr) == nil }()
		}
		anyAnswered := false
		for range addrs {
			anyAnswered = <-answers || anyAnswered
		}
		m.mailbox.Send(func() { m.applySampleResult(anyAnswered, now) })
	}()
}

// sampleWorkerAddrs returns the addresses of a random sample of the workers that are neither lost nor released,
// at most tuning.ReachabilityProbeWorkers.
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

// applySampleResult releases the shards of this controller if the controller cannot reach any worker and a live
// peer may be able to reach workers. It lets the controller own shards again when the controller can reach
// workers.
func (m *Manager) applySampleResult(anyAnswered bool, startedAt time.Time) {
	now := time.Now()
	switch m.reachabilityMonitor.RecordProbeResult(anyAnswered, startedAt, now, m.Membership.HasLivePeer()) {
	case reachability.Unreachable:
		m.log.Info("no worker reachable, releasing shards", "since_last_contact_s", m.reachabilityMonitor.TimeSinceLastContact(now).Seconds())
		m.Cache.ReleaseLiveness()
	case reachability.Restored:
		m.log.Info("workers reachable again")
		m.Cache.ResumeLiveness()
	}
}
