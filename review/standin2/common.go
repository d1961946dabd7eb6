//go:build review

package standin2

import (
	"fmt"
	"time"
)

// Zones are the zones of the small deployment, one for each controller.
var Zones = []string{"dahab-rack", "katrin-rack", "cairo-rack"}

// maxWait is the bound of the rule: "no job is left waiting for 90 s while a machine that fits has room and its team is
// under its limit".
const maxWait = 90 * time.Second

// pollInterval is how often a user asks about a job.
const pollInterval = 5 * time.Second

// startLimit is how long the tasks of a case may take to start before the trouble; otherwise the case could not run.
const startLimit = 25 * time.Second

// SmallDeployment returns the settings of the hut bookings' first brief: the timings of the workers, the limits of the
// state service and the machine type. The cloud has no further machines unless the case adds some.
func SmallDeployment() Settings {
	return Settings{
		Zones: Zones, ReportS: 1.5, LeaseS: 10, GangWaitS: 50, GangPeerS: 5, CancelS: 30,
		State:    Limits{RPS: 150, WriteRPS: 50, ValueKB: 8, TxnOps: 40},
		ListLagS: 8,
		Types: []Type{{
			Name: "qasr-16", CPUs: 16, RAM: 64, CacheGB: 50, FetchGBPerS: 0.25, Price: 0.68, Spot: 0.16, BootS: 35,
			BootsAfter: 35 * time.Second, Zones: Zones, CapacityByZone: map[string]int{},
		}},
		Teams: []Team{{Name: "bookings-desk"}},
	}
}

// NewJob returns a job of the team bookings-desk, which has no limit, with an image that is fetched within half a second.
func NewJob(ref, class, shape string, tasks int, cpus float64, runSeconds ...float64) Job {
	guess := 0.0
	for _, s := range runSeconds {
		guess = max(guess, s)
	}
	return Job{
		Ref: ref, Lot: class, Crew: "bookings-desk", Shape: shape, Urgency: "normal", Shifts: tasks, CPUs: cpus, RAM: 2 * cpus,
		Kit: "img-01", ImageGB: 0.1, GuessS: guess, RunSeconds: runSeconds,
	}
}

// longRun is the run time in seconds of tasks that last longer than any case.
const longRun = 600

// NewFiller returns a job in one zone whose tasks run longer than the case. Fillers keep machines in use.
func NewFiller(number int, zone string, tasks int, cpus float64) Job {
	job := NewJob(fmt.Sprintf("wk-%06d", number), "ledger-trim", "sweep", tasks, cpus, longRun)
	job.Urgency, job.Valley = "prod", &zone
	return job
}

// AddSixMachines adds the six machines that the brief has at the start, two in each zone.
func (c *Case) AddSixMachines() {
	for _, zone := range Zones {
		for range 2 {
			c.AddMachine(zone, "qasr-16", false)
		}
	}
}

// Task returns the name of a task.
func Task(job Job, index int) string { return fmt.Sprintf("%s/%d", job.Ref, index) }

// Runs reports whether a task is on exactly one machine.
func (c *Case) Runs(task string) bool { return len(c.OnMachines(task)) == 1 }

// AllRun reports whether all tasks of the jobs are on machines.
func (c *Case) AllRun(jobs ...Job) bool {
	for _, job := range jobs {
		for i := range job.Shifts {
			if !c.Runs(Task(job, i)) {
				return false
			}
		}
	}
	return true
}

// StartAll submits the jobs, one at each controller in turn, and waits until all their tasks are on machines.
func (c *Case) StartAll(jobs ...Job) bool {
	for i, job := range jobs {
		if !c.Submit(i, job) {
			return false
		}
	}
	return Until(startLimit, func() bool { return c.AllRun(jobs...) })
}

// WaitForLease waits until the lease of a machine that has just stopped must have expired.
func (c *Case) WaitForLease() {
	time.Sleep(time.Duration(c.Settings.LeaseS*float64(time.Second)) + time.Second)
}

// CheckWait applies the rule to a job. All troubles are over. It waits for 90 s until the job is done or, after a
// trouble, until the given tasks have been on a machine again. Throughout that time there has to be room: machines that
// the job allows, on which at least so many more of its tasks fit as wait. The team has no limit.
func (c *Case) CheckWait(job Job, allows func(Room) bool, waiting ...string) int {
	started := map[string]int{}
	for _, task := range waiting {
		started[task] = len(c.Starts(task))
	}
	end := time.Now().Add(maxWait)
	for time.Now().Before(end) {
		fitting := 0
		for _, room := range c.Rooms() {
			if allows(room) {
				fitting += int(min(room.CPUs/job.CPUs, room.RAM/job.RAM) + 1e-9)
			}
		}
		moved := 0
		for _, task := range waiting {
			if len(c.Starts(task)) > started[task] {
				moved++
			}
		}
		switch {
		case c.Trouble && moved == len(waiting):
			c.Logf("the waiting tasks have started")
			return Held
		case c.Trouble && moved == 0 && fitting < len(waiting):
			c.Logf("no room: the rule does not apply")
			return NotRun
		}
		time.Sleep(min(pollInterval, time.Until(end)))
		if answer := c.Poll(1, job.Ref); answer.Status == "done" {
			return Held
		}
	}
	c.Logf("%s has waited for %v with room on %+v", job.Ref, maxWait, c.Rooms())
	return Broken
}

// CheckLines waits for 90 s until a job is done, and checks that no answer to a worker had a line longer than the protocol
// allows.
func (c *Case) CheckLines(job Job) int {
	status := Broken
	for end := time.Now().Add(maxWait); status == Broken && time.Now().Before(end); {
		time.Sleep(min(pollInterval, time.Until(end)))
		if c.Poll(1, job.Ref).Status == "done" {
			status = Held
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Logf("%d of the %d tasks are done; %d answers to workers had a line of more than %d bytes", len(c.doneTasks(job)), job.Shifts, c.longLines, maxLine)
	if c.longLines > 0 {
		status = Broken
	}
	return status
}

// doneTasks returns the tasks of a job that have completed. The caller holds the lock.
func (c *Case) doneTasks(job Job) []string {
	var tasks []string
	for i := range job.Shifts {
		if c.done[Task(job, i)] {
			tasks = append(tasks, Task(job, i))
		}
	}
	return tasks
}
