package machinelifecycle

import (
	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// utilization contains totals over the machines of a shard.
type utilization struct {
	idle, surplus, spot, onDemand, unusable int // number of machines; each is counted in one field
	used, total                             capacity.Resources

	onDemandCPU, gangCPU, arrayCPU float64 // CPUs of the on-demand machines: all of them, those that gangs and services use, and those that arrays use
	fetchingCPU                    float64 // CPUs of tasks that fetch their image or wait for their gang
}

// LogUtilization logs the utilization of the machines of each local shard.
func (m *Manager) LogUtilization() {
	for _, shard := range m.Membership.LocalShards() {
		var u utilization
		for _, machine := range m.State.OwnedMachines() {
			if machine.Record().Shard == shard.ID() {
				m.addMachineUtilization(&u, machine)
			}
		}
		m.log.Debug("shard utilization", "shard", shard.ID(), "idle", u.idle, "surplus", u.surplus, "spot", u.spot, "on_demand", u.onDemand,
			"unusable", u.unusable, "cpu_used", u.used.CPU, "cpu_total", u.total.CPU, "cpu_on_demand", u.onDemandCPU,
			"on_demand_gangs", u.gangCPU, "on_demand_arrays", u.arrayCPU, "cpu_fetching", u.fetchingCPU)
	}
}

// addMachineUtilization adds one machine and its tasks to the totals.
func (m *Manager) addMachineUtilization(u *utilization, machine *clusterstate.Machine) {
	if !m.State.IsUsable(machine) {
		u.unusable++
		return
	}
	total, _ := m.State.Total(machine)
	u.total = u.total.Add(total)
	u.used = u.used.Add(total.Sub(m.State.Free(machine)))
	if !machine.Record().Spot {
		u.onDemandCPU += total.CPU
	}
	for assignment := range machine.Assignments() {
		u.addAssignment(assignment, machine.Record().Spot)
	}
	switch {
	case machine.AssignmentCount() == 0:
		u.idle++
	case machine.IsSurplus():
		u.surplus++
	case machine.Record().Spot:
		u.spot++
	default:
		u.onDemand++
	}
}

// addAssignment adds the CPUs of one task to the totals.
func (u *utilization) addAssignment(assignment *clusterstate.Assignment, isOnSpot bool) {
	status, job := assignment.Status().WorkerStatus, assignment.Job()
	cpu := assignment.Need().CPU
	switch {
	case status == workerapi.StatusPulling || status == workerapi.StatusAwaitingGang:
		u.fetchingCPU += cpu
	case isOnSpot || job == nil:
	case job.Record().Kind == jobs.Array:
		u.arrayCPU += cpu
	default:
		u.gangCPU += cpu
	}
}
