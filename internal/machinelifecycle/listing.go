package machinelifecycle

import (
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/tuning"
)

// checkCloudListing reads the cloud's machine list while a worker misses heartbeats: a machine
// that is listed as failed or no longer listed has been terminated, and its tasks need not wait
// for the expiry of its lease.
func (m *Manager) checkCloudListing(now time.Time) {
	if m.listInFlight || now.Sub(m.listedAt) < tuning.MinMachineListGap || m.Cache.IsStale(now) {
		return
	}
	m.listInFlight = true
	requestedAt := time.Now()
	go func() {
		listing, err := m.provider.List(m.mailbox.Context())
		m.mailbox.Send(func() {
			m.listInFlight, m.listedAt = false, time.Now()
			if err == nil {
				m.applyCloudListing(listing, requestedAt)
			}
		})
	}()
}

// applyCloudListing marks suspect machines as terminated that the cloud no longer runs. A list
// may describe an earlier moment, so only machines that were enrolled before it count as
// missing: a young machine that boots in a second and is not listed yet may run tasks.
func (m *Manager) applyCloudListing(listing []cloud.Machine, requestedAt time.Time) {
	lag := config.Seconds(tuning.MaxListLagFactor * m.cfg.Cluster.Cloud.ListLagS)
	statusByHost := map[string]string{}
	for _, listedMachine := range listing {
		statusByHost[listedMachine.Host] = listedMachine.Status
	}
	now := time.Now()
	for _, machine := range m.State.OwnedMachines() {
		status, isListed := statusByHost[machine.Host()]
		mustBeListed := machine.EnrolledFor(requestedAt) > lag+tuning.ListAbsenceMargin
		if m.isSuspect(machine, now) && (status == cloud.StatusFailed || !isListed && mustBeListed) {
			m.log.Info("machine terminated by cloud", "worker", machine.Host(), "status", status, "tasks", machine.AssignmentCount())
			m.markTerminated(machine)
		}
	}
}
