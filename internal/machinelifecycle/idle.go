package machinelifecycle

import (
	"slices"
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

// Machines that have too little to do.

// idleRetention is how long a machine for which nothing is expected is kept: as long
// as the money it costs meanwhile is half of what a new ordinary one costs while
// it boots. A cheap machine is kept longer: the next may not be had as cheaply.
func (k *Manager) idleRetention(machine *clusterstate.Machine) time.Duration {
	machineType, _ := k.MachineTypes.Get(machine.Record().MachineType)
	keep := max(config.Seconds(k.MachineTypes.BootSeconds(machine.Record().MachineType)/2), tuning.MinIdlePeriod)
	if machine.Record().Spot && machineType.SpotHourlyPrice > 0 {
		keep = max(keep, min(time.Duration(float64(keep)*machineType.HourlyPrice/machineType.SpotHourlyPrice), tuning.MaxIdlePeriod))
	}
	return keep
}

// isWithinMinimumCharge tells whether a machine costs nothing more for the moment: the cloud
// charges each for a least time, counted from its rental.
func (k *Manager) isWithinMinimumCharge(machine *clusterstate.Machine, now time.Time) bool {
	return machine.EnrolledFor(now)+config.Seconds(k.MachineTypes.BootSeconds(machine.Record().MachineType)) < tuning.MinChargedPeriod-tuning.MinScaleInRequestGap
}

// releaseIdle returns machines that have had nothing to do for a while.
func (k *Manager) releaseIdle(now time.Time) {
	buffers := k.Scheduler.GrowthBuffers(now)
	defer k.consolidate(now)
	defer k.markSurplus(buffers)
	settings, _ := k.Cache.Settings()
	members := float64(k.Membership.Size())
	spare := map[string][]int{} // per share, the tasks of each growth that fit
	idle := map[string]int{}
	for _, machine := range k.State.OwnedMachines() {
		if !k.State.IsUsable(machine) {
			continue
		}
		shardID := machine.Record().Shard
		if spare[shardID] == nil {
			spare[shardID] = make([]int, len(buffers))
		}
		for i, buffer := range buffers {
			spare[shardID][i] += k.Scheduler.LendableTasks(machine, buffer)
		}
		if machine.RunsOnlyBestEffort() {
			idle[shardID]++
		}
	}
	var waiting []*clusterstate.Job
	may := k.Scheduler.NewQuotaAllowance()
	for job := range k.State.Jobs() {
		if job.HasEnded() || job.Record().Kind == jobs.Array || k.Faults.IsJobFaulty(job.Ref()) {
			continue
		}
		// What waits for its team's limit has no use for machines: a limited team's kept a
		// third of them empty.
		if !job.IsBlocked() && (job.HasReadyTasks() || len(job.Record().Unclaimed) > 0 && may.Take(job) > 0) {
			waiting = append(waiting, job)
		}
	}
next:
	for _, machine := range k.State.OwnedMachines() {
		since, shardID := machine.IdleSince(), machine.Record().Shard
		if !k.State.IsUsable(machine) || !machine.RunsOnlyBestEffort() || machine.AssignmentCount() > 0 && !machine.IsSurplus() || since.IsZero() || now.Sub(since) < k.idleRetention(machine) {
			continue
		}
		if idle[shardID] <= settings.SpareMachines || k.isWithinMinimumCharge(machine, now) || k.isNeededByWaitingGang(machine, waiting) {
			continue
		}
		// A machine in whose room the next urgent jobs are expected stays.
		for i, buffer := range buffers {
			if n := k.Scheduler.LendableTasks(machine, buffer); n > 0 && float64(spare[shardID][i]-n) < buffer.Tasks/members {
				continue next
			}
		}
		for i, buffer := range buffers {
			spare[shardID][i] -= k.Scheduler.LendableTasks(machine, buffer)
		}
		idle[shardID]--
		if machine.AssignmentCount() > 0 {
			// Work that was lent its room saves and goes on elsewhere.
			k.log.Info("machine emptied of background work", "worker", machine.Host(), "tasks", machine.AssignmentCount())
			k.State.Drain(machine)
			continue
		}
		k.release(machine)
	}
}

// isNeededByWaitingGang tells whether a waiting gang may need the machine: returned while
// the others that it needs boot, it would have to be rented again.
func (k *Manager) isNeededByWaitingGang(machine *clusterstate.Machine, waiting []*clusterstate.Job) bool {
	return slices.ContainsFunc(waiting, func(job *clusterstate.Job) bool {
		return job.Record().Allows(machine.Group()) && capacity.FitCount(k.State.Free(machine), job.Need()) > 0
	})
}

// consolidate empties a surplus machine whose long tasks can save and find room on
// fuller ones: a few long tasks on each kept every machine of a large cluster
// half empty for minutes. One at a time, so that the next one is judged by where
// they went.
func (k *Manager) consolidate(now time.Time) {
	if now.Sub(k.consolidatedAt) < tuning.ConsolidationInterval {
		return
	}
	k.consolidatedAt = now
	var best *clusterstate.Machine
	for _, machine := range k.State.OwnedMachines() {
		if k.State.IsUsable(machine) && machine.IsSurplus() && machine.AssignmentCount() > 0 && k.canMigrateTasks(machine, now) &&
			(best == nil || k.State.UsedCPUFraction(machine) < k.State.UsedCPUFraction(best)) {
			best = machine
		}
	}
	if best == nil || k.isWithinMinimumCharge(best, now) {
		return
	}
	// Is there room for each of its tasks on machines of its share that are fuller?
	need := map[*clusterstate.Job]int{}
	for assignment := range best.Assignments() {
		need[assignment.Job()]++
	}
	for job, n := range need {
		for _, machine := range k.State.OwnedMachines() {
			if machine != best && machine.Record().Shard == best.Record().Shard && k.State.IsUsable(machine) && job.Record().Allows(machine.Group()) &&
				k.State.UsedCPUFraction(machine) > k.State.UsedCPUFraction(best) {
				n -= capacity.FitCount(k.State.Free(machine), job.Need()) / len(need)
			}
		}
		if n > 0 {
			return
		}
	}
	k.log.Info("machine emptied, its tasks find room on fuller ones", "worker", best.Host(), "tasks", best.AssignmentCount())
	k.State.Drain(best)
}

// canMigrateTasks tells whether all tasks of a machine run, save their progress, and have
// so much before them that moving them pays.
func (k *Manager) canMigrateTasks(machine *clusterstate.Machine, now time.Time) bool {
	for assignment := range machine.Assignments() {
		is, job := assignment.Status(), assignment.Job()
		if job == nil || is.Stopping || is.WorkerStatus != workerapi.StatusRunning || job.Record().Kind != jobs.Array || job.Record().CheckpointIntervalSeconds <= 0 || is.RunningSince.IsZero() {
			return false
		}
		left := config.Seconds(k.Scheduler.ExpectedRunSeconds(job.Record())) - now.Sub(is.RunningSince)
		if left < tuning.MinConsolidationRunTime+config.Seconds(2*job.Record().CheckpointSaveSeconds) || now.Sub(is.RunningSince) < tuning.MinConsolidationRunTime/2 {
			return false
		}
	}
	return true
}

// markSurplus finds the ordinary machines that neither hold work that had to
// go there nor are needed for the next urgent jobs. Lent to arrays for ever,
// they would never fall empty.
func (k *Manager) markSurplus(buffers []classstats.GrowthBuffer) {
	var machines []*clusterstate.Machine
	for _, machine := range k.State.OwnedMachines() {
		if k.State.IsUsable(machine) {
			machines = append(machines, machine)
		} else {
			k.State.SetSurplus(machine, false)
		}
	}
	// The fullest are kept for the buffers, so that the emptiest fall empty.
	sort.Slice(machines, func(i, j int) bool {
		if x, y := machines[i].AssignmentCount(), machines[j].AssignmentCount(); x != y {
			return x > y
		}
		return machines[i].Host() < machines[j].Host()
	})
	members := float64(k.Membership.Size())
	kept := map[string][]int{}
	for _, machine := range machines {
		have := kept[machine.Record().Shard]
		if have == nil {
			have = make([]int, len(buffers))
			kept[machine.Record().Shard] = have
		}
		surplus := !machine.Record().Spot && k.State.OrdinaryTasks(machine) == 0
		for i, buffer := range buffers {
			n := k.Scheduler.LendableTasks(machine, buffer)
			if n > 0 && float64(have[i]) < buffer.Tasks/members {
				surplus = false
			}
			if !surplus {
				have[i] += n
			}
		}
		k.State.SetSurplus(machine, surplus)
	}
}

// LogUtilization logs what the machines of a share are used for.
func (k *Manager) LogUtilization() {
	for _, shard := range k.Membership.LocalShards() {
		var idle, surplus, spot, busy, closed int
		var used, total capacity.Resources
		var ordinary, gangs, arrays, fetching float64 // CPUs: of ordinary machines, and what uses them
		for _, machine := range k.State.OwnedMachines() {
			if machine.Record().Shard != shard.ID() {
				continue
			}
			if !k.State.IsUsable(machine) {
				closed++
				continue
			}
			t, _ := k.State.Total(machine)
			total = total.Add(t)
			used = used.Add(t.Sub(k.State.Free(machine)))
			if !machine.Record().Spot {
				ordinary += t.CPU
			}
			for assignment := range machine.Assignments() {
				status, job := assignment.Status().WorkerStatus, assignment.Job()
				switch {
				case status == workerapi.StatusPulling || status == workerapi.StatusAwaitingGang:
					fetching += assignment.Need().CPU
				case machine.Record().Spot || job == nil:
				case job.Record().Kind == jobs.Array:
					arrays += assignment.Need().CPU
				default:
					gangs += assignment.Need().CPU
				}
			}
			switch {
			case machine.AssignmentCount() == 0:
				idle++
			case machine.IsSurplus():
				surplus++
			case machine.Record().Spot:
				spot++
			default:
				busy++
			}
		}
		k.log.Debug("share use", "share", shard.ID(), "idle", idle, "surplus", surplus, "spot", spot, "ordinary", busy,
			"closed", closed, "cpu_used", used.CPU, "cpu_total", total.CPU, "cpu_ordinary", ordinary, "ordinary_gangs", gangs,
			"ordinary_arrays", arrays, "cpu_fetching", fetching)
	}
}
