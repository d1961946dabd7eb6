package machinelifecycle

import (
	"slices"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/classstats"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// idleCapacity contains the counts, by shard, that limit how many machines may be released.
type idleCapacity struct {
	buffers     []classstats.GrowthBuffer
	machines    map[string]int   // number of usable machines that are idle or run only best-effort tasks
	bufferTasks map[string][]int // how many tasks of each buffer fit on all usable machines, in the order of buffers
}

// countIdleCapacity counts the idle capacity of all local shards.
func (m *Manager) countIdleCapacity(buffers []classstats.GrowthBuffer) *idleCapacity {
	idle := &idleCapacity{buffers: buffers, machines: map[string]int{}, bufferTasks: map[string][]int{}}
	for _, machine := range m.State.OwnedMachines() {
		if !m.State.IsUsable(machine) {
			continue
		}
		shardID := machine.Record().Shard
		if idle.bufferTasks[shardID] == nil {
			idle.bufferTasks[shardID] = make([]int, len(buffers))
		}
		for i, buffer := range buffers {
			idle.bufferTasks[shardID][i] += m.Scheduler.FitCountWithPreemption(machine, buffer)
		}
		if machine.RunsOnlyBestEffort() {
			idle.machines[shardID]++
		}
	}
	return idle
}

// isNeededForGrowth reports whether a growth buffer would become too small without the machine.
// Each shard keeps an equal fraction of a buffer.
func (m *Manager) isNeededForGrowth(machine *clusterstate.Machine, idle *idleCapacity) bool {
	shardCount := float64(m.Membership.ControllerCount())
	tasks := idle.bufferTasks[machine.Record().Shard]
	for i, buffer := range idle.buffers {
		fitCount := m.Scheduler.FitCountWithPreemption(machine, buffer)
		if fitCount > 0 && float64(tasks[i]-fitCount) < buffer.Tasks/shardCount {
			return true
		}
	}
	return false
}

// subtractIdleMachine subtracts a machine from the idle capacity, because the machine will be released.
func (m *Manager) subtractIdleMachine(machine *clusterstate.Machine, idle *idleCapacity) {
	shardID := machine.Record().Shard
	for i, buffer := range idle.buffers {
		idle.bufferTasks[shardID][i] -= m.Scheduler.FitCountWithPreemption(machine, buffer)
	}
	idle.machines[shardID]--
}

// releaseIdle releases machines that have been idle for their retention time, except those that are
// within their minimum charged period and those that are needed as the operators' spare machines, for
// waiting jobs or for the growth buffers.
func (m *Manager) releaseIdle(now time.Time, buffers []classstats.GrowthBuffer) {
	settings, _ := m.Cache.Settings()
	idle := m.countIdleCapacity(buffers)
	waitingJobs := m.jobsWaitingForMachines()
	for _, machine := range m.State.OwnedMachines() {
		if !m.exceedsIdleRetention(machine, now) {
			continue
		}
		if idle.machines[machine.Record().Shard] <= settings.SpareMachines || m.isWithinMinimumCharge(machine, now) || m.isNeededByWaitingJob(machine, waitingJobs) {
			continue
		}
		if m.isNeededForGrowth(machine, idle) {
			continue
		}
		m.subtractIdleMachine(machine, idle)
		if machine.AssignmentCount() > 0 {
			// Best-effort tasks save a checkpoint and continue on another machine.
			m.log.Info("surplus machine drained of best-effort tasks", "worker", machine.Host(), "tasks", machine.AssignmentCount())
			m.State.Cordon(machine)
			continue
		}
		m.queueRelease(machine)
	}
}

// exceedsIdleRetention reports whether a machine has been idle for its retention time. Only a
// surplus machine counts as idle while it runs best-effort tasks.
func (m *Manager) exceedsIdleRetention(machine *clusterstate.Machine, now time.Time) bool {
	if !m.State.IsUsable(machine) || !machine.RunsOnlyBestEffort() {
		return false
	}
	if machine.AssignmentCount() > 0 && !machine.IsSurplus() {
		return false
	}
	idleSince := machine.IdleSince()
	return !idleSince.IsZero() && now.Sub(idleSince) >= m.idleRetention(machine)
}

// idleRetention returns how long an idle machine is kept: until its cost since it became idle reaches
// half of what a new on-demand machine costs while booting, and at least for tuning.MinIdlePeriod. A
// spot machine is kept longer, up to tuning.MaxIdlePeriod, because the next spot machine may be more
// expensive.
func (m *Manager) idleRetention(machine *clusterstate.Machine) time.Duration {
	typeName := machine.Record().MachineType
	machineType, _ := m.MachineTypes.Get(typeName)
	retention := max(config.Seconds(m.MachineTypes.BootSeconds(typeName)/2), tuning.MinIdlePeriod)
	if machine.Record().Spot && machineType.SpotHourlyPrice > 0 {
		spotRetention := time.Duration(float64(retention) * machineType.HourlyPrice / machineType.SpotHourlyPrice)
		retention = max(retention, min(spotRetention, tuning.MaxIdlePeriod))
	}
	return retention
}

// isWithinMinimumCharge reports whether a machine can be kept at no additional cost for now: the
// cloud charges each machine for a minimum period, counted from the scale-out request.
func (m *Manager) isWithinMinimumCharge(machine *clusterstate.Machine, now time.Time) bool {
	bootTime := config.Seconds(m.MachineTypes.BootSeconds(machine.Record().MachineType))
	return machine.TimeSinceRegistration(now)+bootTime < tuning.MinChargedPeriod-tuning.MinScaleInRequestGap
}

// jobsWaitingForMachines returns the gangs and services that have tasks to place, except faulty jobs,
// jobs that wait for dependencies, and jobs that wait for their team's quota.
func (m *Manager) jobsWaitingForMachines() []*clusterstate.Job {
	var waitingJobs []*clusterstate.Job
	allowance := m.Scheduler.NewQuotaAllowance()
	for job := range m.State.Jobs() {
		if job.HasEnded() || job.Record().Kind == jobs.Array || m.Faults.IsJobFaulty(job.Ref()) {
			continue
		}
		// Tasks that wait for their team's quota do not count, since they cannot use a machine.
		// The waiting tasks of a single team at its limit once kept a third of all machines idle.
		if !job.IsBlocked() && (job.HasReadyTasks() || len(job.Record().Unclaimed) > 0 && allowance.Take(job) > 0) {
			waitingJobs = append(waitingJobs, job)
		}
	}
	return waitingJobs
}

// isNeededByWaitingJob reports whether a task of a waiting job fits on the machine. If the machine
// were released while the other machines of a gang boot, a new machine would have to be requested.
func (m *Manager) isNeededByWaitingJob(machine *clusterstate.Machine, waitingJobs []*clusterstate.Job) bool {
	return slices.ContainsFunc(waitingJobs, func(job *clusterstate.Job) bool {
		return job.Record().Allows(machine.Group()) && capacity.FitCount(m.State.Free(machine), job.Need()) > 0
	})
}
