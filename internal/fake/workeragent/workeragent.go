// Package workeragent is a fake of the agent that runs on each machine. The agent renews its lease by heartbeats,
// executes commands and runs tasks as the worker protocol prescribes. The caller transports heartbeats
// and commands; the Environment determines how long tasks run and whether they fail.
package workeragent

import (
	"maps"
	"slices"
	"time"

	"cherrywall/internal/cloud"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// Environment is the interface of an agent to the cluster that it runs in.
type Environment interface {
	LeaseDuration() time.Duration
	// MachineSpec returns the resources of the agent's machine.
	MachineSpec() cloud.MachineType
	// TaskSpec returns the specification of a task's job and the run time of the task. isKnown is false
	// if there is no such job.
	TaskSpec(task string) (spec jobs.Spec, runTime time.Duration, isKnown bool)
	// FailsTasks reports whether the tasks of a job fail.
	FailsTasks(ref string) bool
	// IgnoresStops reports whether the agent ignores stop commands and the expiry of its lease.
	IgnoresStops() bool
	// RefusesStarts reports whether the agent starts no task.
	RefusesStarts() bool

	// ImageFetchTime returns how long fetching a task's image takes. With 0, tasks start at once.
	ImageFetchTime() time.Duration
	// AfterFetch calls onFetched after fetchTime unless the machine is frozen or released by then. The
	// lock that protects the agent is held during the call.
	AfterFetch(fetchTime time.Duration, onFetched func()) *time.Timer

	// StartCommandExecuted is called when the agent has executed the command to start a task.
	StartCommandExecuted(task string)
	// TaskStarted is called when a task starts, and returns how long the task runs. runTime is the run
	// time according to TaskSpec.
	TaskStarted(task *Task, runTime time.Duration) time.Duration
	// TaskDone is called when a task has ended without an error.
	TaskDone(task *Task)
	// SendHeartbeatNow triggers the next heartbeat immediately.
	SendHeartbeatNow()
}

// Machine is the description of a machine that its agent reports.
type Machine struct {
	Host        string
	Addr        string // address for direct commands, empty if the agent accepts none
	MachineType string
	Zone        string
	Spot        bool
}

// Agent is the agent of a machine. It is not safe for concurrent use: the caller must hold the lock that
// protects the agent.
type Agent struct {
	Machine
	FailTasks        bool     // every task ends with an error
	PreemptionNotice *float64 // seconds until the preemption that heartbeats announce; nil if they announce none

	env            Environment
	epoch          uint64 // the agent epoch, which is incremented when the lease expires
	sequence       uint64 // sequence number of the last heartbeat
	fencingToken   uint64 // the highest token that was received
	tasks          map[string]*Task
	leaseRenewedAt time.Time // when the last accepted heartbeat was sent; the lease duration counts from then
	answeredAt     time.Time // when the last accepted response to a heartbeat was sent
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

// Task returns a task that the agent was commanded to start, nil if the agent does not know the task.
func (a *Agent) Task(name string) *Task { return a.tasks[name] }

// Tasks returns all tasks that the agent knows. The caller must not change the map.
func (a *Agent) Tasks() map[string]*Task { return a.tasks }

// Expire applies the effects of the time that has passed since the last call. If the lease has expired, all
// tasks are dropped and a new agent epoch begins; otherwise the tasks whose run time is over end.
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
			a.completeTask(task)
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

// HandleHeartbeatResponse handles the response to a heartbeat: it renews the lease, whose duration counts from
// sentAt, and executes the commands in the response. It does neither if the agent epoch of the heartbeat has
// ended or the agent knows a newer owner of the shard. It reports whether the next heartbeat has a change to
// report.
func (a *Agent) HandleHeartbeatResponse(epoch uint64, response workerapi.HeartbeatResponse, sentAt, answeredAt time.Time) (hasChanged bool) {
	if epoch != a.epoch || response.FencingToken < a.fencingToken {
		return false
	}
	isNewToken := response.FencingToken > a.fencingToken
	a.fencingToken, a.leaseRenewedAt, a.answeredAt = response.FencingToken, sentAt, answeredAt
	hasCommands := a.execute(response.Commands)
	return hasCommands || isNewToken
}

// Probe accepts a fencing token, or returns workerapi.ErrStaleToken if the agent has received a higher one.
func (a *Agent) Probe(token uint64) error {
	a.Expire()
	if token < a.fencingToken {
		return workerapi.ErrStaleToken
	}
	a.fencingToken = token
	return nil
}

// Execute executes direct commands if they are for the current agent epoch and not from an earlier owner of
// the shard. It returns the next heartbeat, and whether it has executed the commands. It does not renew
// the lease.
func (a *Agent) Execute(request workerapi.CommandRequest) (heartbeat *workerapi.Heartbeat, isExecuted bool) {
	a.Expire()
	isExecuted = request.FencingToken >= a.fencingToken && request.AgentEpoch == a.epoch
	if isExecuted {
		a.fencingToken = request.FencingToken
		if a.execute(request.Commands) {
			a.env.SendHeartbeatNow()
		}
	}
	return a.Heartbeat(), isExecuted
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
