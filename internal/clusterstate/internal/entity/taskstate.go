package entity

import "fmt"

// TaskState is the state of a task in a range whose shard this controller owns.
type TaskState uint8

// The states of a task.
const (
	// TaskUnknown is the state of a task that may be running on some machine: it was claimed before this
	// controller acquired its shard, or its machine moved to another shard, and no heartbeat has
	// shown yet whether it runs.
	TaskUnknown TaskState = iota
	// TaskReady is the state of a task that is not on any machine and may be started.
	TaskReady
	// TaskPlaced is the state of a task with an assignment to a machine.
	TaskPlaced
	// TaskFinished is the state of a task that is done.
	TaskFinished
	// TaskUnclaiming is the state of a task whose claim is being withdrawn, so that any shard can claim it.
	TaskUnclaiming

	taskStateCount = iota
)

// String returns the state's name for logs and test failures.
func (s TaskState) String() string {
	switch s {
	case TaskUnknown:
		return "unknown"
	case TaskReady:
		return "ready"
	case TaskPlaced:
		return "placed"
	case TaskFinished:
		return "finished"
	case TaskUnclaiming:
		return "unclaiming"
	default:
		return fmt.Sprintf("TaskState(%d)", uint8(s))
	}
}
