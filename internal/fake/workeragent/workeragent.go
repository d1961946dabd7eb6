// Package workeragent is a stand-in of the agent that runs on each machine: it renews its lease by
// heartbeats, executes commands and runs tasks as the protocol prescribes. Its caller transports
// heartbeats and commands; its Environment determines what the tasks do.
package workeragent

import (
	"maps"
	"slices"
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// Environment is what an agent needs of the cluster that it runs in.
type Environment interface {
	LeaseDuration() time.Duration
	// MachineSpec returns the resources of the agent's machine.
	MachineSpec() cloud.MachineType
	// TaskSpec returns the specification of a task's job, and how long the task runs.
	TaskSpec(task string) (spec jobs.Spec, runTime time.Duration, known bool)
	// FailsTasks reports whether the tasks of a job fail.
	FailsTasks(ref string) bool
	// IgnoresStops reports whether the agent stops no task, also not when its lease expires.
	IgnoresStops() bool
	// RefusesStarts reports whether the agent starts no task.
	RefusesStarts() bool

	// ImageFetchTime is how long a task's image is fetched, 0 for no time.
	ImageFetchTime() time.Duration
	// AfterFetch calls fetched after fetchTime, with the lock held that protects the agent, unless
	// the machine is frozen or released by then.
	AfterFetch(fetchTime time.Duration, fetched func()) *time.Timer

	// TaskCommanded is called when the agent has executed the command to start a task.
	TaskCommanded(task string)
	// TaskStarted is called at the moment at which a task starts, and returns how long it runs.
	TaskStarted(task *Task, runTime time.Duration) time.Duration
	// TaskDone is called when a task has ended without an error.
	TaskDone(task *Task)
	// ReportSoon has the next heartbeat sent at once.
	ReportSoon()
}

// Machine is what an agent reports of its machine.
type Machine struct {
	Host        string
	Addr        string // for direct commands, empty for none
	MachineType string
	Zone        string
	Spot        bool
}

// Agent is the agent of a machine. It has no lock of its own: its methods must be called with the lock
// held that protects it.
type Agent struct {
	Machine
	FailTasks        bool     // every task ends with an error
	PreemptionNotice *float64 // seconds, in the heartbeat if it is set

	env            Environment
	epoch          uint64 // the agent epoch; a new one begins when the lease expires
	sequence       uint64 // of the heartbeats
	fencingToken   uint64 // the highest that was seen
	tasks          map[string]*Task
	leaseRenewedAt time.Time
	answeredAt     time.Time // when the last accepted answer to a heartbeat was given
}

// New creates an agent whose lease begins now.
func New(env Environment, machine Machine) *Agent {
	return &Agent{
		Machine:        machine,
		env:            env,
		epoch:          1,
		tasks:          map[string]*Task{},
		leaseRenewedAt: time.Now(),
	}
}

// Epoch returns the agent epoch.
func (a *Agent) Epoch() uint64 { return a.epoch }

// Task returns a task that the agent was commanded to start, nil if it does not know it.
func (a *Agent) Task(name string) *Task { return a.tasks[name] }

// Tasks returns all tasks that the agent knows. The caller must not change the map.
func (a *Agent) Tasks() map[string]*Task { return a.tasks }

// Expire applies what has happened since the last call: if the lease has expired all tasks are dropped
// and a new agent epoch begins, else the tasks whose run time is over end.
func (a *Agent) Expire() {
	now := time.Now()
	if now.Sub(a.leaseRenewedAt) > a.env.LeaseDuration() && !a.env.IgnoresStops() {
		for _, task := range a.tasks {
			task.stopFetch()
		}
		a.tasks = map[string]*Task{}
		a.epoch++
		a.leaseRenewedAt = now
	}
	for _, task := range a.tasks {
		if task.Status == workerapi.StatusRunning && !task.endsAt.IsZero() && now.After(task.endsAt) {
			a.finish(task)
		}
	}
}

// Heartbeat returns the next heartbeat, with a new sequence number.
func (a *Agent) Heartbeat() *workerapi.Heartbeat {
	a.sequence++
	heartbeat := &workerapi.Heartbeat{
		Host:          a.Host,
		Addr:          a.Addr,
		MachineType:   a.MachineType,
		Zone:          a.Zone,
		Spot:          a.Spot,
		AgentEpoch:    a.epoch,
		Sequence:      a.sequence,
		FencingToken:  a.fencingToken,
		PreemptionInS: a.PreemptionNotice,
	}
	for _, name := range slices.Sorted(maps.Keys(a.tasks)) {
		task := a.tasks[name]
		heartbeat.Tasks = append(heartbeat.Tasks, workerapi.TaskStatus{
			Task: name, Attempt: task.Attempt, Status: task.Status, Cause: task.cause})
	}
	return heartbeat
}

// Accept renews the lease from when the heartbeat was sent, and executes the commands of its answer. It
// does neither if the agent epoch of the heartbeat has ended or a newer owner of the shard is known. It
// reports whether the next heartbeat has a change to report.
func (a *Agent) Accept(epoch uint64, response workerapi.HeartbeatResponse, sentAt, answeredAt time.Time) (hasChanged bool) {
	if epoch != a.epoch || response.FencingToken < a.fencingToken {
		return false
	}
	isNewToken := response.FencingToken > a.fencingToken
	a.fencingToken, a.leaseRenewedAt, a.answeredAt = response.FencingToken, sentAt, answeredAt
	hasCommands := a.execute(response.Commands)
	return hasCommands || isNewToken
}

// Probe accepts a fencing token, or returns workerapi.ErrStaleToken if the agent has seen a higher one.
func (a *Agent) Probe(token uint64) error {
	a.Expire()
	if token < a.fencingToken {
		return workerapi.ErrStaleToken
	}
	a.fencingToken = token
	return nil
}

// Execute executes direct commands if they are for this agent epoch and not from an earlier owner. It
// returns a heartbeat, and whether it has executed them. It does not renew the lease.
func (a *Agent) Execute(request workerapi.CommandRequest) (heartbeat *workerapi.Heartbeat, done bool) {
	a.Expire()
	done = request.FencingToken >= a.fencingToken && request.AgentEpoch == a.epoch
	if done {
		a.fencingToken = request.FencingToken
		if a.execute(request.Commands) {
			a.env.ReportSoon()
		}
	}
	return a.Heartbeat(), done
}

// execute executes commands and reports whether there were any.
func (a *Agent) execute(commands []workerapi.Command) bool {
	for _, command := range commands {
		task := a.tasks[command.Task]
		isCurrent := task != nil && task.Attempt == command.Attempt
		switch command.Verb {
		case workerapi.VerbStart:
			if !isCurrent {
				a.startTask(command)
			}
		case workerapi.VerbStop:
			if isCurrent && !task.HasEnded() && !a.env.IgnoresStops() {
				task.stopFetch()
				task.end(workerapi.CauseStopped)
			}
		case workerapi.VerbAcknowledge:
			if isCurrent && task.HasEnded() {
				delete(a.tasks, command.Task)
			}
		}
	}
	return len(commands) > 0
}
