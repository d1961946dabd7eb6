package scheduler

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/classstats"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// A buffer is capacity that some of the jobs have to leave free. The sizes of the buffers follow from
// observed arrivals, failures and usage.

// GrowthBuffers returns the buffers for urgent work that is expected to arrive.
func (s *Scheduler) GrowthBuffers(now time.Time) []classstats.GrowthBuffer {
	var runningJobs []classstats.RunningJob
	for job := range s.State.Jobs() {
		if record := job.Record(); !job.HasEnded() && len(record.Unclaimed) == 0 {
			runningJobs = append(runningJobs, classstats.RunningJob{
				Class:              record.Class,
				Tasks:              record.Tasks,
				ExpectedRunSeconds: s.ExpectedRunSeconds(record),
			})
		}
	}
	settings, _ := s.Cache.Settings()
	return s.ClassStats.GrowthBuffers(now, s.MachineTypes.LongestBootSeconds(), settings.GrowthFactor, runningJobs)
}

// ExpectedRunSeconds returns the expected run time of a task in seconds: the estimate that was
// submitted with the job, corrected by the actual run times of tasks of the job's class.
func (s *Scheduler) ExpectedRunSeconds(record *jobs.JobRecord) float64 {
	return s.ClassStats.ExpectedTaskSeconds(record)
}

// FitCountWithPreemption returns how many tasks of a growth buffer would fit on a machine if lower-priority
// work were preempted.
func (s *Scheduler) FitCountWithPreemption(machine *clusterstate.Machine, buffer classstats.GrowthBuffer) int {
	if !buffer.Record.Allows(machine.Group()) {
		return 0
	}
	return capacity.FitCount(s.State.FreeBelow(machine, buffer.Record.Priority()), buffer.Need)
}

// buffersFor returns the buffers that a job has to leave free. Buffered capacity may be used by work
// that the owner of the buffer can preempt, so a job has to leave free only the buffers of owners
// that could not preempt it.
func (s *Scheduler) buffersFor(job *clusterstate.Job) []capacity.Buffer {
	var buffers []capacity.Buffer
	isHighest := job.Priority() == jobs.HighestPriority()
	if isHighest {
		buffers = s.guaranteeBuffers(job.Record().Team)
	}
	buffers = append(buffers, s.serviceRestartBuffers(job)...)
	if job.IsBackground() {
		buffers = append(buffers, s.objectiveBuffers(job)...)
	}
	if isHighest {
		// When a machine fails, lower-priority work can be preempted, but work of the highest
		// priority cannot.
		buffers = append(buffers, s.machineFailureBuffers()...)
	}
	return buffers
}

// guaranteeBuffers returns a buffer for the unused part of each team's guarantee, except that of
// exceptTeam. A buffer consists of tasks of the shape of the team's largest job. The buffer is
// divided equally among the shards.
func (s *Scheduler) guaranteeBuffers(exceptTeam string) []capacity.Buffer {
	var buffers []capacity.Buffer
	for _, team := range s.cfg.Cluster.Teams {
		if team.Name == exceptTeam || !hasGuarantee(team) {
			continue
		}
		taskShape := s.shapeOfLargestJob(team.Name)
		if tasks := unusedGuarantee(team, s.teamUsage(team.Name), taskShape); tasks > 0 {
			buffers = append(buffers, capacity.Buffer{Shape: taskShape, Tasks: tasks / float64(s.Membership.ControllerCount())})
		}
	}
	return buffers
}

// shapeOfLargestJob returns the task shape of a team's runnable job with the most tasks. It returns
// a shape of one CPU if the team has no such job.
func (s *Scheduler) shapeOfLargestJob(team string) capacity.Resources {
	largest, mostTasks := capacity.Resources{CPU: 1}, 0
	for job := range s.State.Jobs() {
		record := job.Record()
		if job.IsRunnable() && record.Team == team && record.Tasks > mostTasks {
			largest, mostTasks = job.Need(), record.Tasks
		}
	}
	return largest
}

// unusedGuarantee returns the unused part of a team's guarantee as a number of tasks of a shape.
func unusedGuarantee(team config.Team, used, taskShape capacity.Resources) float64 {
	tasks := 0.0
	if taskShape.CPU > 0 {
		tasks = (team.GuaranteedCPUs - used.CPU) / taskShape.CPU
	}
	if taskShape.GPU > 0 {
		tasks = max(tasks, (team.GuaranteedGPUs-used.GPU)/taskShape.GPU)
	}
	return tasks
}

// serviceRestartBuffers returns buffers for the replicas that have to be restarted when a machine
// fails: for each service, the largest number of its replicas on one machine. A job that the
// service can preempt need not leave the service's buffer free.
func (s *Scheduler) serviceRestartBuffers(job *clusterstate.Job) []capacity.Buffer {
	if s.cycle.maxReplicas == nil {
		s.cycle.maxReplicas = s.maxReplicasPerMachine()
	}
	var buffers []capacity.Buffer
	for service, replicas := range s.cycle.maxReplicas {
		if service != job && !service.HasEnded() && job.Priority() >= service.Priority() {
			buffers = append(buffers, capacity.Buffer{Shape: service.Need(), Tasks: float64(replicas)})
		}
	}
	return buffers
}

// maxReplicasPerMachine returns, for each service, the largest number of its replicas on one machine.
func (s *Scheduler) maxReplicasPerMachine() map[*clusterstate.Job]int {
	maxReplicas := map[*clusterstate.Job]int{}
	for _, machine := range s.State.OwnedMachines() {
		if s.State.ServiceReplicaCount(machine) == 0 {
			continue
		}
		replicas := map[*clusterstate.Job]int{}
		for assignment := range machine.Assignments() {
			if job := assignment.Job(); job != nil && job.Record().Kind == jobs.Service {
				replicas[job]++
			}
		}
		for service, n := range replicas {
			maxReplicas[service] = max(maxReplicas[service], n)
		}
	}
	return maxReplicas
}

// machineFailureBuffers returns the buffer for the machines that are likely to fail while a
// replacement boots, estimated from recent failures (the healing buffer of the Kerveros paper).
// Each of these machines is assumed to be as large as the largest owned machine.
func (s *Scheduler) machineFailureBuffers() []capacity.Buffer {
	failures := float64(s.State.RecentMachineFailureCount(time.Now()))
	machineCount := failures * s.MachineTypes.LongestBootSeconds() / tuning.MachineFailureWindow.Seconds()
	if machineCount <= 0 {
		return nil
	}
	var largest capacity.Resources
	for _, machine := range s.State.OwnedMachines() {
		if total, ok := s.State.Total(machine); ok && total.CPU > largest.CPU {
			largest = total
		}
	}
	if largest.CPU <= 0 {
		return nil
	}
	return []capacity.Buffer{{Shape: largest, Tasks: machineCount}}
}

// classLoad is the expected load of a class and the number of CPUs that its claimed tasks use now.
type classLoad struct {
	classstats.ExpectedLoad
	usedCPU float64
}

// objectiveBuffers returns the buffers that a background job has to leave free: the CPUs that
// arrays with an objective are likely to use in addition to those that they use now. Only arrays of
// the job's priority or lower count: arrays of higher priority can preempt background work, but
// arrays of the same priority cannot.
func (s *Scheduler) objectiveBuffers(job *clusterstate.Job) []capacity.Buffer {
	if s.cycle.classLoads == nil {
		s.cycle.classLoads = s.expectedLoads(time.Now())
	}
	var buffers []capacity.Buffer
	for _, load := range s.cycle.classLoads {
		unusedCPU := load.PeakCPU - load.usedCPU
		if unusedCPU > 0 && load.Record.Priority() <= job.Priority() && load.Record.CPU > 0 {
			buffers = append(buffers, capacity.Buffer{
				Shape: load.Record.Need(),
				Tasks: unusedCPU / load.Record.CPU / float64(s.Membership.ControllerCount()),
			})
		}
	}
	return buffers
}

// expectedLoads returns the expected and current load of the classes with an objective, by class.
func (s *Scheduler) expectedLoads(now time.Time) map[string]classLoad {
	loads := map[string]classLoad{}
	for class, expected := range s.ClassStats.ExpectedLoads(now, s.cfg.Cluster.Objectives, s.State.IsBackground) {
		loads[class] = classLoad{ExpectedLoad: expected}
	}
	for job := range s.State.Jobs() {
		record := job.Record()
		load, known := loads[record.Class]
		if !known || job.HasEnded() {
			continue
		}
		load.usedCPU += float64(job.OpenTaskCount()) * record.CPU
		loads[record.Class] = load
	}
	return loads
}
