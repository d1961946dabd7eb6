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

// markSurplus marks each on-demand machine as surplus or not: a machine is surplus if all its
// tasks may also run on spot machines and the growth buffers do not need the machine. If surplus
// machines were not marked, arrays would continue to use them, and the machines would never become
// empty and never be released.
func (m *Manager) markSurplus(buffers []classstats.GrowthBuffer) {
	shardCount := float64(m.Membership.ControllerCount())
	bufferTasks := map[string][]int{} // by shard, how many tasks of each buffer fit on the machines that are not surplus
	for _, machine := range m.usableMachinesByTaskCount() {
		shardBufferTasks := bufferTasks[machine.Record().Shard]
		if shardBufferTasks == nil {
			shardBufferTasks = make([]int, len(buffers))
			bufferTasks[machine.Record().Shard] = shardBufferTasks
		}
		isSurplus := !machine.Record().Spot && m.State.OnDemandOnlyTaskCount(machine) == 0
		for i, buffer := range buffers {
			fitCount := m.Scheduler.FitCountWithPreemption(machine, buffer)
			if fitCount > 0 && float64(shardBufferTasks[i]) < buffer.Tasks/shardCount {
				isSurplus = false
			}
			if !isSurplus {
				shardBufferTasks[i] += fitCount
			}
		}
		m.State.SetSurplus(machine, isSurplus)
	}
}

// usableMachinesByTaskCount returns the usable machines, those with the most tasks first, so that
// machines with many tasks are kept for the growth buffers and those with few tasks become empty.
// It marks unusable machines as not surplus.
func (m *Manager) usableMachinesByTaskCount() []*clusterstate.Machine {
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

// consolidate drains the machine that emptiestMigratable returns, if the machine's tasks fit on
// machines with a higher CPU use and its minimum charged period is over. Without consolidation, a few
// long tasks on each machine kept all machines of a large cluster half empty for minutes. At most one
// machine is drained in each tuning.ConsolidationInterval, so that the next decision takes into
// account where the tasks were placed.
func (m *Manager) consolidate(now time.Time) {
	if now.Sub(m.lastConsolidationAt) < tuning.ConsolidationInterval {
		return
	}
	m.lastConsolidationAt = now
	emptiestMachine := m.emptiestMigratable(now)
	if emptiestMachine == nil || m.isWithinMinimumCharge(emptiestMachine, now) || !m.fitsOnFullerMachines(emptiestMachine) {
		return
	}
	m.log.Info("surplus machine drained for consolidation", "worker", emptiestMachine.Host(), "tasks", emptiestMachine.AssignmentCount())
	m.State.Cordon(emptiestMachine)
}

// emptiestMigratable returns the usable surplus machine with the lowest CPU use whose tasks can all
// be migrated. It returns nil if there is none.
func (m *Manager) emptiestMigratable(now time.Time) *clusterstate.Machine {
	var emptiestMachine *clusterstate.Machine
	for _, machine := range m.State.OwnedMachines() {
		if !m.State.IsUsable(machine) || !machine.IsSurplus() || machine.AssignmentCount() == 0 || !m.canMigrateTasks(machine, now) {
			continue
		}
		if emptiestMachine == nil || m.State.UsedCPUFraction(machine) < m.State.UsedCPUFraction(emptiestMachine) {
			emptiestMachine = machine
		}
	}
	return emptiestMachine
}

// fitsOnFullerMachines reports whether all tasks of a machine fit on the machines of its shard that
// have a higher CPU use. Each job is assumed to get an equal fraction of the free resources.
func (m *Manager) fitsOnFullerMachines(source *clusterstate.Machine) bool {
	tasksByJob := map[*clusterstate.Job]int{}
	for assignment := range source.Assignments() {
		tasksByJob[assignment.Job()]++
	}
	for job, remainingTaskCount := range tasksByJob {
		for _, machine := range m.State.OwnedMachines() {
			if m.isFullerInSameShard(machine, source) && job.Record().Allows(machine.Group()) {
				remainingTaskCount -= capacity.FitCount(m.State.Free(machine), job.Need()) / len(tasksByJob)
			}
		}
		if remainingTaskCount > 0 {
			return false
		}
	}
	return true
}

// isFullerInSameShard reports whether a machine is usable, is in the same shard as source, and has a
// higher CPU use than source.
func (m *Manager) isFullerInSameShard(machine, source *clusterstate.Machine) bool {
	return machine != source && machine.Record().Shard == source.Record().Shard && m.State.IsUsable(machine) &&
		m.State.UsedCPUFraction(machine) > m.State.UsedCPUFraction(source)
}

// canMigrateTasks reports whether every task of a machine belongs to an array with checkpoints and is
// worth migrating: the task has run for long enough and has enough run time left.
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
	remainingTime := config.Seconds(m.Scheduler.ExpectedRunSeconds(record)) - elapsed
	return remainingTime >= tuning.MinConsolidationRunTime+config.Seconds(2*record.CheckpointSaveSeconds) &&
		elapsed >= tuning.MinConsolidationRunTime/2
}
