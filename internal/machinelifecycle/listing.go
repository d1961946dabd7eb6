package machinelifecycle

import (
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/tuning"
)

// checkCloudListing reads the cloud's machine list. It is called if mayBeTerminated is true for a
// machine. If the list shows the machine as failed or no longer contains it, the machine has been
// terminated, and its tasks can be started elsewhere before its lease expires.
func (m *Manager) checkCloudListing(now time.Time) {
	if m.isListInFlight || now.Sub(m.lastListAt) < tuning.MinMachineListGap || m.Cache.IsStale(now) {
		return
	}
	m.isListInFlight = true
	requestedAt := time.Now()
	go func() {
		listing, err := m.provider.List(m.mailbox.Context())
		m.mailbox.Send(func() {
			m.isListInFlight, m.lastListAt = false, time.Now()
			if err == nil {
				m.applyCloudListing(listing, requestedAt)
			}
		})
	}()
}

// applyCloudListing marks the machines for which mayBeTerminated is true as terminated if the cloud no
// longer runs them. The list may describe an earlier time, so an unlisted machine counts as terminated
// only if it was registered before that time: a new machine that has booted in a second may run tasks
// before it is listed.
func (m *Manager) applyCloudListing(listing []cloud.Machine, requestedAt time.Time) {
	maxListLag := config.Seconds(tuning.MaxListLagFactor * m.cfg.Cluster.Cloud.ListLagSeconds)
	statusByHost := map[string]string{}
	for _, listedMachine := range listing {
		statusByHost[listedMachine.Host] = listedMachine.Status
	}
	now := time.Now()
	for _, machine := range m.State.OwnedMachines() {
		status, isListed := statusByHost[machine.Host()]
		mustBeListed := machine.TimeSinceRegistration(requestedAt) > maxListLag+tuning.ListAbsenceMargin
		if m.mayBeTerminated(machine, now) && (status == cloud.StatusFailed || !isListed && mustBeListed) {
			m.log.Info("machine terminated by cloud", "worker", machine.Host(), "status", status, "tasks", machine.AssignmentCount())
			m.markTerminated(machine)
		}
	}
}
