package fake

import (
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// resourceTolerance is by how much a sum of resources may exceed a limit because of rounding.
const resourceTolerance = 1e-6

// runningTask is a task that a worker was told to start.
type runningTask struct {
	name        string
	attempt     uint64
	status      string
	cause       string    // of its end
	endsAt      time.Time // zero for a service and before the start
	spec        jobs.Spec
	commandedAt time.Time // when a controller commanded its start

	fetchTimer     *time.Timer // fires when the image is fetched; nil if no fetch is under way
	imageReadyAt   time.Time   // when it fires
	fetchRemaining time.Duration
}

// isOnMachine reports whether a task has its image and has not ended.
func (t *runningTask) isOnMachine() bool {
	return t.status != workerapi.StatusEnded && t.status != workerapi.StatusPulling
}

func (t *runningTask) end(cause string) {
	t.status, t.cause = workerapi.StatusEnded, cause
}

func (t *runningTask) stopFetch() {
	if t.fetchTimer != nil {
		t.fetchTimer.Stop()
		t.fetchTimer = nil
	}
}

// startTask starts a task, or begins to fetch its image. The cluster's lock must be held.
func (w *Worker) startTask(command workerapi.Command) {
	c := w.cluster
	spec, runTime, known := c.taskSpec(command.Task)
	task := &runningTask{
		name:        command.Task,
		attempt:     command.Attempt,
		status:      workerapi.StatusRunning,
		spec:        spec,
		commandedAt: w.answeredAt,
	}
	switch fetchTime := c.network.imageFetchTime; {
	case !known:
		task.end(workerapi.CauseNoSuch)
	case c.RefuseStarts || !w.hasRoomFor(spec):
		task.end(workerapi.CauseFull)
	case fetchTime == 0:
		w.beginTask(task, runTime)
	default:
		task.status = workerapi.StatusPulling
		task.imageReadyAt = time.Now().Add(fetchTime)
		task.fetchTimer = time.AfterFunc(fetchTime, func() { w.imageFetched(task, runTime) })
	}
	w.tasks[command.Task] = task
	c.workload.startedOn[command.Task] = append(c.workload.startedOn[command.Task], w)
}

// taskSpec returns the specification of a task's job, and the task's run time.
func (c *Cluster) taskSpec(task string) (spec jobs.Spec, runTime time.Duration, known bool) {
	ref, _, _ := jobs.ParseTask(task)
	spec, known = c.workload.specs[ref]
	if !known {
		return c.recordedSpec(ref)
	}
	return spec, c.workload.runTimes[ref], true
}

// hasRoomFor reports whether one more task fits on the machine.
func (w *Worker) hasRoomFor(spec jobs.Spec) bool {
	usedCPU, usedGPU := 0.0, 0.0
	for _, task := range w.tasks {
		if task.status != workerapi.StatusEnded {
			usedCPU += task.spec.CPU
			usedGPU += task.spec.GPU
		}
	}
	total := w.typeSpec()
	return usedCPU+spec.CPU <= total.CPU+resourceTolerance && usedGPU+spec.GPU <= total.GPU+resourceTolerance
}

// imageFetched starts a task whose image is fetched, if it was not stopped meanwhile.
func (w *Worker) imageFetched(task *runningTask, runTime time.Duration) {
	c := w.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.network.frozen[w.Host] != nil || c.workers[w.Host] != w || c.ctx.Err() != nil {
		return
	}
	w.expire()
	if w.tasks[task.name] == task && task.status == workerapi.StatusPulling {
		task.fetchTimer, task.status = nil, workerapi.StatusRunning
		w.beginTask(task, runTime)
		w.reportSoon()
	}
}

// freezeFetches interrupts all image fetches, or continues them. The cluster's lock must be held.
func (w *Worker) freezeFetches(on bool) {
	w.expire()
	for _, task := range w.tasks {
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

// beginTask is the moment at which a task starts on its machine. The cluster's lock must be held.
func (w *Worker) beginTask(task *runningTask, runTime time.Duration) {
	c := w.cluster
	c.checkTaskStart(w, task)
	c.workload.startCounts[task.name]++
	if c.onTaskStart != nil {
		c.onTaskStart(task.name, w.Host, task.commandedAt)
	}
	if task.spec.Kind == jobs.Service {
		return
	}
	if ownRunTime, ok := c.workload.taskRunTimes[task.name]; ok {
		runTime = ownRunTime
	}
	if c.workload.doneTasks[task.spec.Ref][task.name] {
		runTime = 0 // its result is kept
	}
	task.endsAt = time.Now().Add(runTime)
}

// markDone notes that a task is done. The first done task of a gang ends all of them. The lock must
// be held.
func (c *Cluster) markDone(task *runningTask) {
	done := c.workload.doneTasks[task.spec.Ref]
	if done == nil {
		done = map[string]bool{}
		c.workload.doneTasks[task.spec.Ref] = done
	}
	done[task.name] = true
	if task.spec.Kind == jobs.Gang {
		for i := range task.spec.Tasks {
			done[jobs.TaskName(task.spec.Ref, i)] = true
		}
	}
}
