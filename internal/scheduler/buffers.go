package scheduler

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/classstats"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Protected amounts, sized from what was seen.

// GrowthBuffers sizes the growth buffers from what was seen and what runs.
func (d *Scheduler) GrowthBuffers(now time.Time) []classstats.GrowthBuffer {
	var running []classstats.RunningJob
	for job := range d.State.Jobs() {
		if rec := job.Record(); !job.HasEnded() && len(rec.Unclaimed) == 0 {
			running = append(running, classstats.RunningJob{Class: rec.Class, Tasks: rec.Tasks, ExpectedSeconds: d.ExpectedRunSeconds(rec)})
		}
	}
	set, _ := d.Cache.Settings()
	return d.ClassStats.GrowthBuffers(now, d.MachineTypes.LongestBootSeconds(), set.GrowthFactor, running)
}

// ExpectedRunSeconds is the corrected run time of a task, in seconds.
func (d *Scheduler) ExpectedRunSeconds(rec *jobs.JobRecord) float64 {
	return d.ClassStats.ExpectedTaskSeconds(rec)
}

// LendableTasks is how many tasks of a growth buffer a machine could take, lower
// work set aside.
func (d *Scheduler) LendableTasks(machine *clusterstate.Machine, g classstats.GrowthBuffer) int {
	if !g.Record.Allows(machine.Group()) {
		return 0
	}
	return capacity.FitCount(d.State.FreeBelow(machine, g.Record.Priority()), g.Need)
}

// buffersFor are the protected amounts that a job has to leave alone. Room is
// lent to work that a claimant may stop, so a job sees only the buffers of
// those that could not take the room back from it.
func (d *Scheduler) buffersFor(job *clusterstate.Job) []capacity.Buffer {
	var out []capacity.Buffer
	highest := job.Priority() == jobs.HighestPriority()
	for _, t := range d.cfg.Cluster.Teams {
		if t.Name == job.Record().Team || t.GuaranteedCPUs <= 0 && t.GuaranteedGPUs <= 0 {
			continue
		}
		// What the team has not claimed of its guarantee, as tasks of the shape
		// it uses most, in this share's part.
		used, most, seen := d.teamUsage(t.Name), capacity.Resources{CPU: 1}, 0
		for other := range d.State.Jobs() {
			if rec := other.Record(); !other.HasEnded() && !other.IsBlocked() && rec.Team == t.Name && rec.Tasks > seen {
				most, seen = other.Need(), rec.Tasks
			}
		}
		x := 0.0
		if most.CPU > 0 {
			x = (t.GuaranteedCPUs - used.CPU) / most.CPU
		}
		if most.GPU > 0 {
			x = max(x, (t.GuaranteedGPUs-used.GPU)/most.GPU)
		}
		if x > 0 && highest {
			out = append(out, capacity.Buffer{Shape: most, Tasks: x / float64(d.Membership.Size())})
		}
	}
	out = append(out, d.serviceRestartBuffers(job)...)
	if job.IsBackground() {
		out = append(out, d.objectiveBuffers(job)...)
	}
	if x := d.healingMachines(time.Now()); x > 0 && highest {
		// Lower work can be stopped when a machine fails; the highest can not.
		var whole capacity.Resources
		for _, machine := range d.State.OwnedMachines() {
			if t, ok := d.State.Total(machine); ok && t.CPU > whole.CPU {
				whole = t
			}
		}
		if whole.CPU > 0 {
			out = append(out, capacity.Buffer{Shape: whole, Tasks: x})
		}
	}
	return out
}

// serviceRestartBuffers is kept for the replicas of services that a failing machine would
// take with it: as many as the fullest machine holds. Work that a service may
// stop need not leave it free.
func (d *Scheduler) serviceRestartBuffers(job *clusterstate.Job) []capacity.Buffer {
	if d.cycle.maxReplicas == nil {
		d.cycle.maxReplicas = d.maxReplicasPerMachine()
	}
	var out []capacity.Buffer
	for other, n := range d.cycle.maxReplicas {
		if other != job && !other.HasEnded() && job.Priority() >= other.Priority() {
			out = append(out, capacity.Buffer{Shape: other.Need(), Tasks: float64(n)})
		}
	}
	return out
}

func (d *Scheduler) maxReplicasPerMachine() map[*clusterstate.Job]int {
	most := map[*clusterstate.Job]int{}
	for _, machine := range d.State.OwnedMachines() {
		if d.State.ServiceReplicas(machine) == 0 {
			continue
		}
		per := map[*clusterstate.Job]int{}
		for assignment := range machine.Assignments() {
			if other := assignment.Job(); other != nil && other.Record().Kind == jobs.Service {
				per[other]++
			}
		}
		for other, n := range per {
			most[other] = max(most[other], n)
		}
	}
	return most
}

// healingMachines is how many whole machines are likely to fail while another boots,
// from the failures seen lately (the paper's healing buffer).
func (d *Scheduler) healingMachines(now time.Time) float64 {
	return float64(d.State.RecentMachineFailures(now)) * d.MachineTypes.LongestBootSeconds() / tuning.MachineFailureWindow.Seconds()
}

// classLoad is what a class is expected to use, in CPUs, and what it uses.
type classLoad struct {
	classstats.ExpectedLoad
	usedCPU float64
}

// objectiveBuffers are the buffers that background work has to leave alone: what arrays
// of its priority with an aim are likely to use beyond what they use now. Work
// of higher priority takes its room back by itself; those of the same can't stop it.
func (d *Scheduler) objectiveBuffers(job *clusterstate.Job) []capacity.Buffer {
	if d.cycle.classLoads == nil {
		d.cycle.classLoads = d.expectedLoads(time.Now())
	}
	var out []capacity.Buffer
	for _, l := range d.cycle.classLoads {
		if x := l.PeakCPU - l.usedCPU; x > 0 && l.Record.Priority() <= job.Priority() && l.Record.CPU > 0 {
			out = append(out, capacity.Buffer{Shape: l.Record.Need(), Tasks: x / l.Record.CPU / float64(d.Membership.Size())})
		}
	}
	return out
}

func (d *Scheduler) expectedLoads(now time.Time) map[string]classLoad {
	out := map[string]classLoad{}
	for name, l := range d.ClassStats.ExpectedLoads(now, d.cfg.Cluster.Objectives, d.State.IsBackground) {
		out[name] = classLoad{ExpectedLoad: l}
	}
	for job := range d.State.Jobs() {
		rec := job.Record()
		l, known := out[rec.Class]
		if !known || job.HasEnded() {
			continue
		}
		l.usedCPU += float64(job.OpenTasks()) * rec.CPU
		out[rec.Class] = l
	}
	return out
}
