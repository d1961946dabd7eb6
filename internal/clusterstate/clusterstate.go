// Package clusterstate keeps a controller's view of the cluster: the jobs, their claimed task
// ranges, the machines with the tasks assigned to them, and the free capacity that is computed
// from these.
//
// Tasks change their state only by methods of State and of the objects that State returns. The state
// cache applies the records of the key-value store to the State, the worker sessions apply heartbeats,
// and the scheduler applies its decisions. State has no locks: the controller's actor owns it, and only
// that actor may use the objects that it returns.
package clusterstate

import "cherrywall/internal/clusterstate/internal/entity"

// The objects of the cluster state are defined in an internal package, so that only State can make
// changes that concern several objects, counts or indexes.
type (
	// Job is an unfinished job, or an ended job that still has claimed ranges.
	Job = entity.Job
	// TaskRange is a claimed range of a job's tasks.
	TaskRange = entity.TaskRange
	// TaskState is the state of a task in a range whose shard this controller owns.
	TaskState = entity.TaskState
	// Machine is this controller's view of a worker.
	Machine = entity.Machine
	// Assignment is the assignment of a task to a machine. It exists from the time at which the task
	// is planned on the machine until the task has left the machine.
	Assignment = entity.Assignment
	// AssignmentStatus is the progress of a task on a machine.
	AssignmentStatus = entity.AssignmentStatus
)

// The states of a task.
const (
	// TaskUnknown is the state of a task that may be running on some machine: it was claimed before this
	// controller acquired its shard, or its machine moved to another shard, and no heartbeat has
	// shown yet whether it runs.
	TaskUnknown = entity.TaskUnknown
	// TaskReady is the state of a task that is not on any machine and may be started.
	TaskReady = entity.TaskReady
	// TaskPlaced is the state of a task with an assignment to a machine.
	TaskPlaced = entity.TaskPlaced
	// TaskFinished is the state of a task that is done.
	TaskFinished = entity.TaskFinished
	// TaskUnclaiming is the state of a task whose claim is being withdrawn, so that any shard can claim it.
	TaskUnclaiming = entity.TaskUnclaiming
)
