package machinelifecycle

import (
	"time"

	"cherrywall/internal/clusterstate"
)

// Steps of the upkeep, for tests of one alone.

func (k *Manager) Release(machine *clusterstate.Machine) { k.release(machine) }
func (k *Manager) SendReleases()                         { k.sendReleases() }
func (k *Manager) CheckCloudListing(now time.Time)       { k.checkCloudListing(now) }
func (k *Manager) MarkSurplus()                          { k.markSurplus(nil) }
func (k *Manager) Consolidate(now time.Time)             { k.consolidate(now) }
func (k *Manager) PendingReleases() int                  { return len(k.pendingReleases) }
