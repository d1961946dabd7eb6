// Package clusterstate keeps what a controller knows of the cluster: jobs, their claimed task
// ranges, and machines with the tasks assigned to them, and the counts of free capacity that
// follow from these.
//
// State is the only place where a task changes its state. Records of the key-value store arrive
// through the state cache, heartbeats through the worker sessions, and decisions come from the
// scheduler. State has no locks: the controller's actor owns it, and everything that it returns
// is to be used by that actor alone.
package clusterstate

import "cherrywall/internal/clusterstate/internal/entity"

// The objects of the cluster state are defined in a package of their own, so that other packages
// can read them while only State can change them.
type (
	// Job is an unfinished job, or one that has ended while claimed ranges of it still exist.
	Job = entity.Job
	// TaskRange is a claimed range of a job's tasks.
	TaskRange = entity.TaskRange
	// TaskState is what is known of a task of a range whose shard this controller owns.
	TaskState = entity.TaskState
	// Machine is a worker as this controller knows it.
	Machine = entity.Machine
	// Assignment is a task on a machine, from when it is planned there until it has left.
	Assignment = entity.Assignment
	// AssignmentStatus is how far a task on a machine is.
	AssignmentStatus = entity.AssignmentStatus
)

// The states of a task.
const (
	// TaskUnknown is a task that may run on some machine: it was claimed before this controller
	// acquired its shard, or its machine changed the shard, and no heartbeat has settled it yet.
	TaskUnknown = entity.TaskUnknown
	// TaskReady is a task that is on no machine and may be started.
	TaskReady = entity.TaskReady
	// TaskPlaced is a task with an assignment to a machine.
	TaskPlaced = entity.TaskPlaced
	// TaskFinished is a task that is done.
	TaskFinished = entity.TaskFinished
	// TaskUnclaiming is a task whose claim is being withdrawn, so that any shard can claim it.
	TaskUnclaiming = entity.TaskUnclaiming
)
