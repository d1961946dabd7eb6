package workeragent

import (
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// resourceTolerance is by how much a sum of resources may exceed a limit because of rounding.
const resourceTolerance = 1e-6

// Task is a task that an agent was commanded to start.
type Task struct {
	Name        string
	Attempt     uint64
	Status      workerapi.TaskState // as in heartbeats
	Spec        jobs.Spec
	CommandedAt time.Time // when a controller commanded its start

	cause  workerapi.ExitCause // of its end
	endsAt time.Time           // zero for a service and before the start

	fetchTimer     *time.Timer   // fires when the image is fetched; nil if no fetch is under way
	imageReadyAt   time.Time     // when it fires
	fetchRemaining time.Duration // of a fetch that FreezeFetches has interrupted
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

// startTask starts a task, or begins to fetch its image.
func (a *Agent) startTask(command workerapi.Command) {
	spec, runTime, known := a.env.TaskSpec(command.Task)
	task := &Task{
		Name:        command.Task,
		Attempt:     command.Attempt,
		Status:      workerapi.StatusRunning,
		Spec:        spec,
		CommandedAt: a.answeredAt,
	}
	switch fetchTime := a.env.ImageFetchTime(); {
	case !known:
		task.end(workerapi.CauseNoSuch)
	case a.env.RefusesStarts() || !a.hasRoomFor(spec):
		task.end(workerapi.CauseFull)
	case fetchTime == 0:
		a.beginTask(task, runTime)
	default:
		task.Status = workerapi.StatusPulling
		task.imageReadyAt = time.Now().Add(fetchTime)
		task.fetchTimer = a.env.AfterFetch(fetchTime, func() { a.imageFetched(task, runTime) })
	}
	a.tasks[command.Task] = task
	a.env.TaskCommanded(command.Task)
}

// hasRoomFor reports whether one more task fits on the machine.
func (a *Agent) hasRoomFor(spec jobs.Spec) bool {
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

// imageFetched starts a task whose image is fetched, if it was not stopped meanwhile.
func (a *Agent) imageFetched(task *Task, runTime time.Duration) {
	a.Expire()
	if a.tasks[task.Name] == task && task.Status == workerapi.StatusPulling {
		task.fetchTimer, task.Status = nil, workerapi.StatusRunning
		a.beginTask(task, runTime)
		a.env.ReportSoon()
	}
}

// FreezeFetches interrupts all image fetches, or continues them.
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

// beginTask starts a task that has its image.
func (a *Agent) beginTask(task *Task, runTime time.Duration) {
	runTime = a.env.TaskStarted(task, runTime)
	if task.Spec.Kind != jobs.Service {
		task.endsAt = time.Now().Add(runTime)
	}
}

// finish ends a task whose run time is over.
func (a *Agent) finish(task *Task) {
	if a.FailTasks || a.env.FailsTasks(task.Spec.Ref) {
		task.end(workerapi.CauseError)
		return
	}
	task.end(workerapi.CauseDone)
	a.env.TaskDone(task)
}
