package machinelifecycle

import (
	"sort"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/classstats"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// markSurplus marks the on-demand machines that run only tasks which may also run on spot machines,
// and that are not needed for the growth buffers. Without the mark arrays would go on using such
// machines, which would never become empty and never be released.
func (m *Manager) markSurplus(buffers []classstats.GrowthBuffer) {
	shardCount := float64(m.Membership.Size())
	kept := map[string][]int{} // by shard, the tasks of each buffer that fit on the machines kept
	for _, machine := range m.usableFullestFirst() {
		fitting := kept[machine.Record().Shard]
		if fitting == nil {
			fitting = make([]int, len(buffers))
			kept[machine.Record().Shard] = fitting
		}
		surplus := !machine.Record().Spot && m.State.OrdinaryTasks(machine) == 0
		for i, buffer := range buffers {
			lendable := m.Scheduler.LendableTasks(machine, buffer)
			if lendable > 0 && float64(fitting[i]) < buffer.Tasks/shardCount {
				surplus = false
			}
			if !surplus {
				fitting[i] += lendable
			}
		}
		m.State.SetSurplus(machine, surplus)
	}
}

// usableFullestFirst returns the usable machines, those with the most tasks first: they are
// kept for the growth buffers, so that the emptiest become empty. It marks unusable machines as
// not surplus.
func (m *Manager) usableFullestFirst() []*clusterstate.Machine {
	var machines []*clusterstate.Machine
	for _, machine := range m.State.OwnedMachines() {
		if m.State.IsUsable(machine) {
			machines = append(machines, machine)
		} else {
			m.State.SetSurplus(machine, false)
		}
	}
	sort.Slice(machines, func(i, j int) bool {
		if x, y := machines[i].AssignmentCount(), machines[j].AssignmentCount(); x != y {
			return x > y
		}
		return machines[i].Host() < machines[j].Host()
	})
	return machines
}

// consolidate drains the emptiest surplus machine whose long tasks can be checkpointed and fit
// on fuller machines: a few long tasks on each machine kept all machines of a large cluster
// half empty for minutes. It drains one machine at a time, so that the next decision sees where
// the tasks went.
func (m *Manager) consolidate(now time.Time) {
	if now.Sub(m.consolidatedAt) < tuning.ConsolidationInterval {
		return
	}
	m.consolidatedAt = now
	emptiest := m.emptiestMovable(now)
	if emptiest == nil || m.isWithinMinimumCharge(emptiest, now) || !m.fitsOnFullerMachines(emptiest) {
		return
	}
	m.log.Info("surplus machine drained for consolidation", "worker", emptiest.Host(), "tasks", emptiest.AssignmentCount())
	m.State.Cordon(emptiest)
}

// emptiestMovable returns the surplus machine with the lowest CPU use whose tasks can all be
// migrated, nil if there is none.
func (m *Manager) emptiestMovable(now time.Time) *clusterstate.Machine {
	var emptiest *clusterstate.Machine
	for _, machine := range m.State.OwnedMachines() {
		if !m.State.IsUsable(machine) || !machine.IsSurplus() || machine.AssignmentCount() == 0 || !m.canMigrateTasks(machine, now) {
			continue
		}
		if emptiest == nil || m.State.UsedCPUFraction(machine) < m.State.UsedCPUFraction(emptiest) {
			emptiest = machine
		}
	}
	return emptiest
}

// fitsOnFullerMachines reports whether there is room for each task of a machine on fuller
// machines of its shard. Jobs get equal fractions of the room.
func (m *Manager) fitsOnFullerMachines(source *clusterstate.Machine) bool {
	tasksByJob := map[*clusterstate.Job]int{}
	for assignment := range source.Assignments() {
		tasksByJob[assignment.Job()]++
	}
	for job, remaining := range tasksByJob {
		for _, machine := range m.State.OwnedMachines() {
			if m.isFullerPeer(machine, source) && job.Record().Allows(machine.Group()) {
				remaining -= capacity.FitCount(m.State.Free(machine), job.Need()) / len(tasksByJob)
			}
		}
		if remaining > 0 {
			return false
		}
	}
	return true
}

// isFullerPeer reports whether a machine is usable, of the same shard as source, and has a
// higher CPU use.
func (m *Manager) isFullerPeer(machine, source *clusterstate.Machine) bool {
	return machine != source && machine.Record().Shard == source.Record().Shard && m.State.IsUsable(machine) &&
		m.State.UsedCPUFraction(machine) > m.State.UsedCPUFraction(source)
}

// canMigrateTasks reports whether every task of a machine belongs to an array with checkpoints
// and has enough run time before and behind it that a migration pays.
func (m *Manager) canMigrateTasks(machine *clusterstate.Machine, now time.Time) bool {
	for assignment := range machine.Assignments() {
		if !m.canMigrate(assignment, now) {
			return false
		}
	}
	return true
}

func (m *Manager) canMigrate(assignment *clusterstate.Assignment, now time.Time) bool {
	status, job := assignment.Status(), assignment.Job()
	if job == nil || status.Stopping || status.WorkerStatus != workerapi.StatusRunning || status.RunningSince.IsZero() {
		return false
	}
	record := job.Record()
	if record.Kind != jobs.Array || record.CheckpointIntervalSeconds <= 0 {
		return false
	}
	elapsed := now.Sub(status.RunningSince)
	remaining := config.Seconds(m.Scheduler.ExpectedRunSeconds(record)) - elapsed
	return remaining >= tuning.MinConsolidationRunTime+config.Seconds(2*record.CheckpointSaveSeconds) &&
		elapsed >= tuning.MinConsolidationRunTime/2
}
