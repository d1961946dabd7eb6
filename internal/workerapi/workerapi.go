// Package workerapi defines the messages between workers and controllers, and the client for the requests that
// controllers send to workers. The names in the JSON form are those of the protocol.
package workerapi

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task, by their names in the protocol.
const (
	StatusPulling       TaskState = "pulling"   // the task waits for its image
	StatusAwaitingGang  TaskState = "gathering" // the task waits for the other tasks of its gang attempt
	StatusRunning       TaskState = "running"
	StatusCheckpointing TaskState = "saving" // the task was told to stop and saves a checkpoint
	StatusEnded         TaskState = "ended"
)

// ExitCause is the reason why a task ended.
type ExitCause string

// The exit causes, by their names in the protocol.
const (
	CauseDone             ExitCause = "done"    // the task completed
	CauseStopped          ExitCause = "stopped" // a command stopped the task
	CauseError            ExitCause = "error"   // the task failed
	CauseNoCapacity       ExitCause = "full"    // start refused: the worker lacks the resources for the task
	CauseDuplicateAttempt ExitCause = "busy"    // start refused: another attempt of the task is on the worker
	CauseUnknownTask      ExitCause = "no_such" // start refused: the job or task does not exist or is not submitted
)

// TaskStatus is the state of one task in a heartbeat.
type TaskStatus struct {
	Task           string    `json:"shift"`
	Attempt        uint64    `json:"try"`
	Status         TaskState `json:"status"`
	Cause          ExitCause `json:"cause"` // only with StatusEnded
	CheckpointKept bool      `json:"kept"`  // only with CauseStopped: whether a checkpoint was saved
}

// Heartbeat is a worker's report about itself and its tasks.
type Heartbeat struct {
	Host          string       `json:"host"`
	Addr          string       `json:"addr"`
	MachineType   string       `json:"build"`
	Zone          string       `json:"valley"`
	Spot          bool         `json:"loaners"`
	AgentEpoch    uint64       `json:"watch"`   // starts at 1 and grows each time the worker's lease expires
	Sequence      uint64       `json:"tick"`    // grows with every heartbeat; of two heartbeats, the one with the larger (AgentEpoch, Sequence) is newer
	FencingToken  uint64       `json:"baton"`   // the highest token that the worker has seen
	PreemptionInS *float64     `json:"recallS"` // seconds until the cloud takes the machine back; nil without a preemption notice
	Tasks         []TaskStatus `json:"shifts"`  // all tasks on the worker, including ended ones that are not acknowledged yet
}

// HeartbeatResponse answers a heartbeat and renews the worker's lease.
type HeartbeatResponse struct {
	// FencingToken is the epoch of the worker's shard, or the revision of the worker's record if the
	// revision is higher.
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Verb is the action that a command tells a worker to take.
type Verb string

// The verbs.
const (
	VerbStart       Verb = "launch"
	VerbStop        Verb = "halt"
	VerbAcknowledge Verb = "forget" // the worker may drop an ended task
)

// Command is a command to a worker for one attempt of a task. It is safe to repeat a command, with one
// exception: a start command for an attempt whose end was acknowledged starts the attempt again.
type Command struct {
	Verb         Verb     `json:"verb"`
	Task         string   `json:"shift"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"leewayS,omitempty"` // seconds to save a checkpoint, only with VerbStop
}

// CommandRequest is the body of a request that carries commands to a worker's own address. It is valid only
// for one agent epoch and one fencing token, whenever it arrives, and it renews no lease.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	AgentEpoch   uint64    `json:"watch"`
	Commands     []Command `json:"orders"`
}

// Record is a worker's durable record.
type Record struct {
	Shard       string `json:"share"` // the shard to which the worker belongs
	Addr        string `json:"addr"`
	MachineType string `json:"build"`
	Zone        string `json:"zone"`
	Spot        bool   `json:"spot"`
	// RegisteredAtMS is the time of the worker's first heartbeat, in Unix milliseconds.
	RegisteredAtMS int64 `json:"at"`
}
