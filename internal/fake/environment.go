package fake

import (
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/fake/workeragent"
	"cherrywall/internal/jobs"
)

// environment gives the agent of one worker access to the cluster. It implements
// workeragent.Environment. The cluster's lock must be held when its methods are called.
type environment struct {
	*Cluster
	worker *Worker
}

func (e environment) LeaseDuration() time.Duration {
	return config.Seconds(e.Cfg.Cluster.Workers.LeaseSeconds)
}

func (e environment) IgnoresStops() bool { return e.IgnoreStops }

func (e environment) RefusesStarts() bool { return e.RefuseStarts }

func (e environment) FailsTasks(ref string) bool { return e.FaultyJobs[ref] }

func (e environment) ImageFetchTime() time.Duration { return e.imageFetchTime }

func (e environment) MachineSpec() cloud.MachineType { return e.offeredType(e.worker.MachineType) }

// TaskSpec returns the specification of a task's job and the run time of the task. For a job that was
// not registered with RegisterJob, both come from the job's record.
func (e environment) TaskSpec(task string) (spec jobs.Spec, runTime time.Duration, isKnown bool) {
	ref, _, _ := jobs.ParseTaskName(task)
	spec, isKnown = e.workload.specs[ref]
	if !isKnown {
		return e.recordedSpec(ref)
	}
	return spec, e.workload.runTimes[ref], true
}

func (e environment) AfterFetch(fetchTime time.Duration, onFetched func()) *time.Timer {
	return time.AfterFunc(fetchTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		host := e.worker.Host
		if !e.IsFrozen(host) && e.workers[host] == e.worker && e.ctx.Err() == nil {
			onFetched()
		}
	})
}

func (e environment) StartCommandExecuted(task string) {
	e.workload.commandedWorkers[task] = append(e.workload.commandedWorkers[task], e.worker)
}

func (e environment) TaskStarted(task *workeragent.Task, runTime time.Duration) time.Duration {
	e.checkTaskStart(e.worker, task)
	e.workload.startCounts[task.Name]++
	if e.onTaskStart != nil {
		e.onTaskStart(task.Name, e.worker.Host, task.CommandedAt)
	}
	if taskRunTime, ok := e.workload.taskRunTimes[task.Name]; ok {
		runTime = taskRunTime
	}
	if e.workload.doneTasks[task.Spec.Ref][task.Name] {
		runTime = 0 // the task was completed before: when it is started again, its result exists already
	}
	return runTime
}

// TaskDone records that a task is done. When the first task of a gang is done, all tasks of the gang count as
// done.
func (e environment) TaskDone(task *workeragent.Task) {
	spec := task.Spec
	doneTasks := e.workload.doneTasks[spec.Ref]
	if doneTasks == nil {
		doneTasks = map[string]bool{}
		e.workload.doneTasks[spec.Ref] = doneTasks
	}
	doneTasks[task.Name] = true
	if spec.Kind == jobs.Gang {
		for i := range spec.Tasks {
			doneTasks[jobs.TaskName(spec.Ref, i)] = true
		}
	}
}

func (e environment) SendHeartbeatNow() {
	select {
	case e.worker.wakeSignal <- struct{}{}:
	default:
	}
}

// offeredType returns the machine type with a name, or an empty one if the cloud does not offer it.
func (c *Cluster) offeredType(name string) cloud.MachineType {
	for _, offered := range c.OfferedTypes {
		if offered.Name == name {
			return offered
		}
	}
	return cloud.MachineType{}
}
