package workeragent

import (
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// resourceTolerance is the amount by which a sum of resources may exceed a limit because of rounding errors.
const resourceTolerance = 1e-6

// Task is a task that an agent was commanded to start.
type Task struct {
	Name        string
	Attempt     uint64
	Status      workerapi.TaskState // as reported in heartbeats
	Spec        jobs.Spec
	CommandedAt time.Time // when a controller commanded the start

	cause  workerapi.ExitCause // why the task ended
	endsAt time.Time           // zero for a service and before the start

	fetchTimer     *time.Timer   // fires when the image is fetched; nil if no fetch is in progress
	imageReadyAt   time.Time     // when fetchTimer fires
	fetchRemaining time.Duration // remaining time of a fetch that FreezeFetches has interrupted
}

// HasEnded reports whether a task has ended.
func (t *Task) HasEnded() bool { return t.Status == workerapi.StatusEnded }

// IsOnMachine reports whether a task has its image and has not ended.
func (t *Task) IsOnMachine() bool { return !t.HasEnded() && t.Status != workerapi.StatusPulling }

func (t *Task) end(cause workerapi.ExitCause) {
	t.Status, t.cause = workerapi.StatusEnded, cause
}

func (t *Task) stopFetch() {
	if t.fetchTimer != nil {
		t.fetchTimer.Stop()
		t.fetchTimer = nil
	}
}

// startTask executes the command to start a task: it starts the task, or begins to fetch its image.
func (a *Agent) startTask(command workerapi.Command) {
	spec, runTime, isKnown := a.env.TaskSpec(command.Task)
	task := &Task{
		Name:        command.Task,
		Attempt:     command.Attempt,
		Status:      workerapi.StatusRunning,
		Spec:        spec,
		CommandedAt: a.answeredAt,
	}
	switch fetchTime := a.env.ImageFetchTime(); {
	case !isKnown:
		task.end(workerapi.CauseUnknownTask)
	case a.env.RefusesStarts() || !a.hasCapacityFor(spec):
		task.end(workerapi.CauseNoCapacity)
	case fetchTime == 0:
		a.runTask(task, runTime)
	default:
		task.Status = workerapi.StatusPulling
		task.imageReadyAt = time.Now().Add(fetchTime)
		task.fetchTimer = a.env.AfterFetch(fetchTime, func() { a.handleImageFetched(task, runTime) })
	}
	a.tasks[command.Task] = task
	a.env.StartCommandExecuted(command.Task)
}

// hasCapacityFor reports whether the machine has enough free CPUs and GPUs for one more task of a job.
func (a *Agent) hasCapacityFor(spec jobs.Spec) bool {
	usedCPU, usedGPU := 0.0, 0.0
	for _, task := range a.tasks {
		if !task.HasEnded() {
			usedCPU += task.Spec.CPU
			usedGPU += task.Spec.GPU
		}
	}
	total := a.env.MachineSpec()
	return usedCPU+spec.CPU <= total.CPU+resourceTolerance && usedGPU+spec.GPU <= total.GPU+resourceTolerance
}

// handleImageFetched starts a task whose image has been fetched, unless the task was stopped during the
// fetch.
func (a *Agent) handleImageFetched(task *Task, runTime time.Duration) {
	a.Expire()
	if a.tasks[task.Name] == task && task.Status == workerapi.StatusPulling {
		task.fetchTimer, task.Status = nil, workerapi.StatusRunning
		a.runTask(task, runTime)
		a.env.SendHeartbeatNow()
	}
}

// FreezeFetches interrupts or resumes all image fetches.
func (a *Agent) FreezeFetches(on bool) {
	a.Expire()
	for _, task := range a.tasks {
		switch {
		case task.fetchTimer == nil:
		case on:
			task.fetchTimer.Stop()
			task.fetchRemaining = max(time.Millisecond, time.Until(task.imageReadyAt))
		default:
			task.imageReadyAt = time.Now().Add(task.fetchRemaining)
			task.fetchTimer.Reset(task.fetchRemaining)
		}
	}
}

// runTask starts a task whose image is on the machine.
func (a *Agent) runTask(task *Task, runTime time.Duration) {
	runTime = a.env.TaskStarted(task, runTime)
	if task.Spec.Kind != jobs.Service {
		task.endsAt = time.Now().Add(runTime)
	}
}

// FinishTask ends the run time of a running task now.
func (a *Agent) FinishTask(name string) {
	a.Expire()
	if task := a.tasks[name]; task != nil && task.Status == workerapi.StatusRunning {
		a.completeTask(task)
		a.env.SendHeartbeatNow()
	}
}

// completeTask ends a task whose run time is over, with an error if FailTasks is set or
// the tasks of its job fail.
func (a *Agent) completeTask(task *Task) {
	if a.FailTasks || a.env.FailsTasks(task.Spec.Ref) {
		task.end(workerapi.CauseError)
		return
	}
	task.end(workerapi.CauseDone)
	a.env.TaskDone(task)
}
