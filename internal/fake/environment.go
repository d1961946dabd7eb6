package fake

import (
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/fake/workeragent"
	"cherrywall/internal/jobs"
)

// environment is the cluster as the agent of a worker sees it. It implements
// workeragent.Environment; the cluster's lock must be held.
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

func (e environment) MachineSpec() cloud.MachineType { return e.typeSpec(e.worker.MachineType) }

// TaskSpec returns the specification of a submitted job; of a job that was not submitted through
// Submit, that of its record.
func (e environment) TaskSpec(task string) (spec jobs.Spec, runTime time.Duration, known bool) {
	ref, _, _ := jobs.ParseTask(task)
	spec, known = e.workload.specs[ref]
	if !known {
		return e.recordedSpec(ref)
	}
	return spec, e.workload.runTimes[ref], true
}

func (e environment) AfterFetch(fetchTime time.Duration, fetched func()) *time.Timer {
	return time.AfterFunc(fetchTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		host := e.worker.Host
		if !e.IsFrozen(host) && e.workers[host] == e.worker && e.ctx.Err() == nil {
			fetched()
		}
	})
}

func (e environment) TaskCommanded(task string) {
	e.workload.startedOn[task] = append(e.workload.startedOn[task], e.worker)
}

func (e environment) TaskStarted(task *workeragent.Task, runTime time.Duration) time.Duration {
	e.checkTaskStart(e.worker, task)
	e.workload.startCounts[task.Name]++
	if e.onTaskStart != nil {
		e.onTaskStart(task.Name, e.worker.Host, task.CommandedAt)
	}
	if ownRunTime, ok := e.workload.taskRunTimes[task.Name]; ok {
		runTime = ownRunTime
	}
	if e.workload.doneTasks[task.Spec.Ref][task.Name] {
		runTime = 0 // it is started again, but its result exists already
	}
	return runTime
}

// TaskDone notes that a task is done. The first task of a gang that is done completes all of them.
func (e environment) TaskDone(task *workeragent.Task) {
	spec := task.Spec
	done := e.workload.doneTasks[spec.Ref]
	if done == nil {
		done = map[string]bool{}
		e.workload.doneTasks[spec.Ref] = done
	}
	done[task.Name] = true
	if spec.Kind == jobs.Gang {
		for i := range spec.Tasks {
			done[jobs.TaskName(spec.Ref, i)] = true
		}
	}
}

func (e environment) ReportSoon() {
	select {
	case e.worker.wake <- struct{}{}:
	default:
	}
}

// typeSpec returns a machine type, empty if the cloud does not offer it.
func (c *Cluster) typeSpec(name string) cloud.MachineType {
	for _, offered := range c.OfferedTypes {
		if offered.Name == name {
			return offered
		}
	}
	return cloud.MachineType{}
}
