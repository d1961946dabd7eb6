package fake

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cherrywall/internal/fake/workeragent"
	"cherrywall/internal/jobs"
)

// fitTolerance is the amount by which a request may exceed the free resources because of rounding errors.
const fitTolerance = 1e-9

// limitTolerance is the number of CPUs by which a team's usage may exceed its limit because of rounding
// errors.
const limitTolerance = 1e-6

// Violations lists the violations of invariants that the workers observed, and those that the
// controllers logged. The former begin with the name of the invariant, the latter with the name of the
// controller.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

func (c *Cluster) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkTaskStart checks the invariants of a task that starts: the task runs on no other machine, its
// team is within its quota, the job allows the machine and the job's dependencies are done. The lock must
// be held.
func (c *Cluster) checkTaskStart(w *Worker, task *workeragent.Task) {
	spec := task.Spec
	runningHosts := c.runningOn(task.Name)
	isKnown := w.Task(task.Name) == task // evaluated after runningOn, which may have expired the worker's lease
	isOnlyHere := len(runningHosts) == 1 && runningHosts[0] == w.Host && isKnown
	if len(runningHosts) > 0 && !isOnlyHere {
		c.reportViolation("ran_twice: %s runs on %v and started on %s", task.Name, runningHosts, w.Host)
	}
	additionalCPU := spec.CPU
	if isKnown {
		additionalCPU = 0 // the team's usage includes the task already
	}
	if usedCPUs, isExceeded := c.checkLimit(spec.Team, additionalCPU); isExceeded {
		c.reportViolation("quota: team %s uses %v CPUs", spec.Team, usedCPUs)
	}
	if spec.Zone != nil && *spec.Zone != w.Zone || w.Spot && !spec.Spot {
		c.reportViolation("wrong_place: %s", task.Name)
	}
	c.checkZones(w, task)
	for _, dependency := range spec.DependsOn {
		if !c.isComplete(dependency) {
			c.reportViolation("too_early: %s started before its dependency %s was done", task.Name, dependency)
		}
	}
}

// checkZones checks that the job of a task that starts allows the zone, given the job's other tasks that are
// on machines. The lock must be held.
func (c *Cluster) checkZones(w *Worker, starting *workeragent.Task) {
	spec := starting.Spec
	if !spec.OneZone && !spec.Spread {
		return
	}
	tasksByZone := map[string]int{w.Zone: 1}
	for _, other := range c.workers {
		other.Expire()
		for _, task := range other.Tasks() {
			if task != starting && task.IsOnMachine() && task.Spec.Ref == spec.Ref {
				tasksByZone[other.Zone]++
			}
		}
	}
	isOutsideOneZone := spec.OneZone && len(tasksByZone) > 1
	exceedsHalf := spec.Spread && tasksByZone[w.Zone] > (spec.Tasks+1)/2
	if isOutsideOneZone || exceedsHalf {
		c.reportViolation("wrong_place: %s starts in zone %s; tasks by zone, with this one: %v", starting.Name, w.Zone, tasksByZone)
	}
}

// checkLimit reports whether a team would exceed its limit with additionalCPU more CPUs, and returns
// how many CPUs the team would use, 0 for a team without a limit. The lock must be held.
func (c *Cluster) checkLimit(team string, additionalCPU float64) (usedCPUs float64, isExceeded bool) {
	for _, teamConfig := range c.Cfg.Cluster.Teams {
		if teamConfig.Name != team || teamConfig.MaxCPUs <= 0 {
			continue
		}
		usedCPUs = c.teamCPUs(team) + additionalCPU
		return usedCPUs, usedCPUs > teamConfig.MaxCPUs+limitTolerance
	}
	return 0, false
}

// teamCPUs returns how many CPUs a team's tasks use on all machines. The lock must be held.
func (c *Cluster) teamCPUs(team string) float64 {
	usedCPUs := 0.0
	for _, w := range c.workers {
		w.Expire()
		for _, task := range w.Tasks() {
			if task.IsOnMachine() && task.Spec.Team == team {
				usedCPUs += task.Spec.CPU
			}
		}
	}
	return usedCPUs
}

// TeamCPUs returns how many CPUs a team's tasks use on all machines.
func (c *Cluster) TeamCPUs(team string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.teamCPUs(team)
}

// RunningOn lists the machines on which a task runs.
func (c *Cluster) RunningOn(task string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runningOn(task)
}

func (c *Cluster) runningOn(name string) []string {
	var hosts []string
	for _, w := range c.workload.commandedWorkers[name] {
		w.Expire() // otherwise tasks of an expired lease would count until the next heartbeat
		task := w.Task(name)
		if task != nil && task.IsOnMachine() && c.workers[w.Host] == w && !slices.Contains(hosts, w.Host) {
			hosts = append(hosts, w.Host)
		}
	}
	return hosts
}

// CommandedHosts lists the machines that executed a command to start a task, once for each command.
func (c *Cluster) CommandedHosts(task string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []string
	for _, w := range c.workload.commandedWorkers[task] {
		hosts = append(hosts, w.Host)
	}
	return hosts
}

// StartCounts returns how often each task was started.
func (c *Cluster) StartCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.workload.startCounts)
}

// OnTaskStart sets a callback that is called when a task starts; commandedAt is the time at which a
// controller commanded the start. The callback is called with the cluster's lock held and must not call
// the cluster's methods.
func (c *Cluster) OnTaskStart(callback func(task, host string, commandedAt time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onTaskStart = callback
}

// SetImageFetchTime sets how long machines take to fetch a task's image. With 0, tasks start at once.
func (c *Cluster) SetImageFetchTime(fetchTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.imageFetchTime = fetchTime
}

// SetTaskRunTime sets the run time of one task. The other tasks of the job keep the job's run time.
func (c *Cluster) SetTaskRunTime(task string, runTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workload.taskRunTimes[task] = runTime
}

// IsComplete reports whether all tasks of a job are done, as the workers observed it.
func (c *Cluster) IsComplete(ref string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isComplete(ref)
}

// isComplete is IsComplete for callers that hold the lock. It returns true for a job that was not
// registered with RegisterJob, because the number of its tasks is not known.
func (c *Cluster) isComplete(ref string) bool {
	spec, isKnown := c.workload.specs[ref]
	return !isKnown || len(c.workload.doneTasks[ref]) == spec.Tasks
}

// Backlog describes the part of a job that remains to be placed.
type Backlog struct {
	UnplacedCount int // number of tasks that are neither done nor on a machine that runs them or fetches their image
	StartCount    int // how often the job's tasks were started so far, in total
	// HasCapacity reports whether the machines and the team's limit have capacity for the smallest
	// number of tasks that can start: one of an array, all of a gang or service. It is false if fewer
	// tasks than that number are unplaced.
	HasCapacity bool
}

// Backlog returns the backlog of a submitted job.
func (c *Cluster) Backlog(ref string) Backlog {
	c.mu.Lock()
	defer c.mu.Unlock()
	spec := c.workload.specs[ref]
	var backlog Backlog
	for i := range spec.Tasks {
		task := jobs.TaskName(ref, i)
		backlog.StartCount += c.workload.startCounts[task]
		if !c.workload.doneTasks[ref][task] && !c.isPlaced(task) {
			backlog.UnplacedCount++
		}
	}
	neededTasks := 1
	if spec.Kind != jobs.Array {
		neededTasks = spec.Tasks
	}
	if backlog.UnplacedCount == 0 || spec.Kind != jobs.Array && backlog.UnplacedCount < neededTasks {
		return backlog
	}
	if _, isExceeded := c.checkLimit(spec.Team, float64(neededTasks)*spec.CPU); isExceeded {
		return backlog
	}
	if spec.Kind == jobs.Array {
		backlog.HasCapacity = c.fitsArrayTask(spec)
	} else {
		backlog.HasCapacity = c.fittingTaskCount(spec) >= neededTasks
	}
	return backlog
}

// fitsArrayTask reports whether one more task of an array fits on a machine in a zone that the array allows,
// given its tasks that run or fetch their image.
func (c *Cluster) fitsArrayTask(spec jobs.Spec) bool {
	tasksByZone, placedCount := map[string]int{}, 0
	for _, w := range c.workers {
		for _, task := range w.Tasks() {
			if task.Spec.Ref == spec.Ref && !task.HasEnded() {
				tasksByZone[w.Zone]++
				placedCount++
			}
		}
	}
	for _, w := range c.workers {
		isOutsideOneZone := spec.OneZone && tasksByZone[w.Zone] < placedCount
		isFull := spec.Spread && tasksByZone[w.Zone] >= (spec.Tasks+1)/2
		if w.mayRun(spec) && !isOutsideOneZone && !isFull && w.fittingTaskCount(spec) > 0 {
			return true
		}
	}
	return false
}

// isPlaced reports whether a machine that is up runs a task or fetches its image.
func (c *Cluster) isPlaced(name string) bool {
	return slices.ContainsFunc(c.workload.commandedWorkers[name], func(w *Worker) bool {
		task := w.Task(name)
		return c.workers[w.Host] == w && task != nil && !task.HasEnded()
	})
}

// fittingTaskCount returns how many tasks of a job fit on the machines that may run them. For a job that
// must run in one zone it counts only the zone where most tasks fit.
func (c *Cluster) fittingTaskCount(spec jobs.Spec) int {
	countsByZone, total := map[string]int{}, 0
	for _, w := range c.workers {
		if !w.mayRun(spec) {
			continue
		}
		tasks := w.fittingTaskCount(spec)
		countsByZone[w.Zone] += tasks
		total += tasks
	}
	if !spec.OneZone {
		return total
	}
	maxPerZone := 0
	for _, tasks := range countsByZone {
		maxPerZone = max(maxPerZone, tasks)
	}
	return maxPerZone
}

// mayRun reports whether the job allows its tasks to run on the machine.
func (w *Worker) mayRun(spec jobs.Spec) bool {
	if w.Spot && !spec.Spot {
		return false
	}
	if spec.Zone != nil && *spec.Zone != w.Zone {
		return false
	}
	return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, w.MachineType)
}

// fittingTaskCount returns how many tasks of a job fit on the machine in addition to its present tasks; the
// number is negative if the machine is overcommitted. It does not use the scheduler's code, so that it
// detects faults of that code.
func (w *Worker) fittingTaskCount(spec jobs.Spec) int {
	total := w.cluster.offeredType(w.MachineType)
	freeCPU, freeMemGB, freeGPU := total.CPU, total.MemGB, total.GPU
	for _, task := range w.Tasks() {
		if !task.HasEnded() {
			freeCPU -= task.Spec.CPU
			freeMemGB -= task.Spec.MemGB
			freeGPU -= task.Spec.GPU
		}
	}
	tasks := spec.Tasks
	tasks = min(tasks, fitCount(freeCPU, spec.CPU, tasks))
	tasks = min(tasks, fitCount(freeMemGB, spec.MemGB, tasks))
	return min(tasks, fitCount(freeGPU, spec.GPU, tasks))
}

// fitCount returns how many tasks fit into the free amount of a resource if each needs the amount need,
// and countIfUnneeded if they need none of the resource.
func fitCount(free, need float64, countIfUnneeded int) int {
	if need <= 0 {
		return countIfUnneeded
	}
	return int((free + fitTolerance) / need)
}
