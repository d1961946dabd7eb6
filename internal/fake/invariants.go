package fake

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cherrywall/internal/fake/workeragent"
	"cherrywall/internal/jobs"
)

// fitTolerance is by how much a request may exceed the free resources because of rounding.
const fitTolerance = 1e-9

// limitTolerance is by how much a team's usage may exceed its limit because of rounding.
const limitTolerance = 1e-6

// Violations lists the violations of invariants that the workers observed. Each begins with the name
// of the invariant.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

func (c *Cluster) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkTaskStart checks the invariants of a task that starts: it runs on no other machine, its team is
// within its quota, the job allows the machine and the job's dependencies are done. The lock must be
// held.
func (c *Cluster) checkTaskStart(w *Worker, task *workeragent.Task) {
	spec := task.Spec
	running := c.runningOn(task.Name)
	isKnown := w.Task(task.Name) == task // after runningOn, which may have expired the lease
	isOnlyHere := len(running) == 1 && running[0] == w.Host && isKnown
	if len(running) > 0 && !isOnlyHere {
		c.reportViolation("ran_twice: %s on %v and %s", task.Name, running, w.Host)
	}
	additionalCPU := spec.CPU
	if isKnown {
		additionalCPU = 0 // the team's usage contains it already
	}
	if used, exceeds := c.exceedsLimit(spec.Team, additionalCPU); exceeds {
		c.reportViolation("quota: %s takes %v", spec.Team, used)
	}
	if spec.Zone != nil && *spec.Zone != w.Zone || w.Spot && !spec.Spot {
		c.reportViolation("wrong_place: %s", task.Name)
	}
	for _, dependency := range spec.DependsOn {
		if !c.isComplete(dependency) {
			c.reportViolation("too_early: %s before %s", task.Name, dependency)
		}
	}
}

// exceedsLimit reports whether a team that uses so many more CPUs exceeds its limit, and what it uses
// then. The lock must be held.
func (c *Cluster) exceedsLimit(team string, additionalCPU float64) (used float64, exceeds bool) {
	for _, limit := range c.Cfg.Cluster.Teams {
		if limit.Name != team || limit.MaxCPUs <= 0 {
			continue
		}
		used = c.teamUsage(team) + additionalCPU
		return used, used > limit.MaxCPUs+limitTolerance
	}
	return 0, false
}

// teamUsage is how many CPUs a team's tasks use on all machines. The lock must be held.
func (c *Cluster) teamUsage(team string) float64 {
	used := 0.0
	for _, w := range c.workers {
		w.Expire()
		for _, task := range w.Tasks() {
			if task.IsOnMachine() && task.Spec.Team == team {
				used += task.Spec.CPU
			}
		}
	}
	return used
}

// TeamCPUs returns how many CPUs a team's tasks use on all machines.
func (c *Cluster) TeamCPUs(team string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.teamUsage(team)
}

// RunningOn lists the machines on which a task runs.
func (c *Cluster) RunningOn(task string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runningOn(task)
}

func (c *Cluster) runningOn(name string) []string {
	var hosts []string
	for _, w := range c.workload.startedOn[name] {
		w.Expire() // else a lease that has expired would count until the next heartbeat
		task := w.Task(name)
		if task != nil && task.IsOnMachine() && c.workers[w.Host] == w && !slices.Contains(hosts, w.Host) {
			hosts = append(hosts, w.Host)
		}
	}
	return hosts
}

// StartedOn lists the machines on which a task was ever started.
func (c *Cluster) StartedOn(task string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []string
	for _, w := range c.workload.startedOn[task] {
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

// OnTaskStart has started called at the moment at which a task starts, with the time at which its
// start was commanded. It is called with the cluster's lock held and must not call the cluster.
func (c *Cluster) OnTaskStart(started func(task, host string, commandedAt time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onTaskStart = started
}

// SetImageFetchTime sets how long machines need to fetch a task's image; 0 for no time.
func (c *Cluster) SetImageFetchTime(fetchTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.imageFetchTime = fetchTime
}

// SetTaskRunTime has a task run for another time than the others of its job.
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

// isComplete counts a job that was not submitted through Submit as complete: its run is not observed.
func (c *Cluster) isComplete(ref string) bool {
	spec, known := c.workload.specs[ref]
	return !known || len(c.workload.doneTasks[ref]) == spec.Tasks
}

// Backlog is what of a job remains to be placed.
type Backlog struct {
	Unplaced int // tasks that are not done, and that no machine runs or fetches the image of
	Starts   int // of all tasks so far
	// HasCapacity reports whether the machines and the team's limit have capacity for as many tasks
	// as can start by themselves: one of an array, all of a gang or service.
	HasCapacity bool
}

// Backlog returns what of a submitted job remains to be placed.
func (c *Cluster) Backlog(ref string) Backlog {
	c.mu.Lock()
	defer c.mu.Unlock()
	spec := c.workload.specs[ref]
	var backlog Backlog
	for i := range spec.Tasks {
		task := jobs.TaskName(ref, i)
		backlog.Starts += c.workload.startCounts[task]
		if !c.workload.doneTasks[ref][task] && !c.isPlaced(task) {
			backlog.Unplaced++
		}
	}
	needed := 1
	if spec.Kind != jobs.Array {
		needed = spec.Tasks
	}
	if backlog.Unplaced == 0 || spec.Kind != jobs.Array && backlog.Unplaced < needed {
		return backlog
	}
	if _, exceeds := c.exceedsLimit(spec.Team, float64(needed)*spec.CPU); exceeds {
		return backlog
	}
	backlog.HasCapacity = c.fittingTasks(spec) >= needed
	return backlog
}

// isPlaced reports whether a machine that is up runs a task or fetches its image.
func (c *Cluster) isPlaced(name string) bool {
	return slices.ContainsFunc(c.workload.startedOn[name], func(w *Worker) bool {
		task := w.Task(name)
		return c.workers[w.Host] == w && task != nil && !task.HasEnded()
	})
}

// fittingTasks returns how many tasks of a job fit on the machines that may run them; for a job that
// must run in one zone, on those of the zone where most of them fit.
func (c *Cluster) fittingTasks(spec jobs.Spec) int {
	perZone, total := map[string]int{}, 0
	for _, w := range c.workers {
		if !w.allows(spec) {
			continue
		}
		tasks := w.fittingTasks(spec)
		perZone[w.Zone] += tasks
		total += tasks
	}
	if !spec.OneZone {
		return total
	}
	most := 0
	for _, tasks := range perZone {
		most = max(most, tasks)
	}
	return most
}

// allows reports whether a job may run on the machine.
func (w *Worker) allows(spec jobs.Spec) bool {
	if w.Spot && !spec.Spot {
		return false
	}
	if spec.Zone != nil && *spec.Zone != w.Zone {
		return false
	}
	return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, w.MachineType)
}

// fittingTasks returns how many tasks of a job fit on the machine beside those that it has; a negative
// number if the machine is overcommitted. It does not use the scheduler's code, whose faults it would
// not find then.
func (w *Worker) fittingTasks(spec jobs.Spec) int {
	total := w.cluster.typeSpec(w.MachineType)
	freeCPU, freeMemGB, freeGPU := total.CPU, total.MemGB, total.GPU
	for _, task := range w.Tasks() {
		if !task.HasEnded() {
			freeCPU -= task.Spec.CPU
			freeMemGB -= task.Spec.MemGB
			freeGPU -= task.Spec.GPU
		}
	}
	tasks := spec.Tasks
	tasks = min(tasks, fitting(freeCPU, spec.CPU, tasks))
	tasks = min(tasks, fitting(freeMemGB, spec.MemGB, tasks))
	return min(tasks, fitting(freeGPU, spec.GPU, tasks))
}

// fitting returns how many tasks that need so much fit into a free resource; unlimited if they need
// nothing of it.
func fitting(free, need float64, unlimited int) int {
	if need <= 0 {
		return unlimited
	}
	return int((free + fitTolerance) / need)
}
