package machinelifecycle

import (
	"time"

	"cherrywall/internal/clusterstate"
)

// The methods below give tests access to single steps of Tick and Maintain.

func (m *Manager) Release(machine *clusterstate.Machine) { m.queueRelease(machine) }
func (m *Manager) SendReleases()                         { m.sendReleases() }
func (m *Manager) CheckCloudListing(now time.Time)       { m.checkCloudListing(now) }
func (m *Manager) MarkSurplus()                          { m.markSurplus(nil) }
func (m *Manager) Consolidate(now time.Time)             { m.consolidate(now) }
func (m *Manager) PendingReleaseCount() int              { return len(m.pendingReleases) }
