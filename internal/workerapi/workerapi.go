// Package workerapi holds the messages between workers and controllers, and the client of the requests that
// controllers send to workers. The names in the JSON form are those of the protocol.
package workerapi

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task, by their names in the protocol.
const (
	StatusPulling       TaskState = "pulling"   // it waits for its image
	StatusAwaitingGang  TaskState = "gathering" // it waits for the other tasks of its gang attempt
	StatusRunning       TaskState = "running"
	StatusCheckpointing TaskState = "saving" // it was told to stop and saves a checkpoint
	StatusEnded         TaskState = "ended"
)

// ExitCause is the reason why a task ended.
type ExitCause string

// The causes, by their names in the protocol.
const (
	CauseDone    ExitCause = "done"    // completed
	CauseStopped ExitCause = "stopped" // by a command
	CauseError   ExitCause = "error"   // it failed
	CauseFull    ExitCause = "full"    // start refused: the worker has no resources for it
	CauseBusy    ExitCause = "busy"    // start refused: another attempt of it is on the worker
	CauseNoSuch  ExitCause = "no_such" // start refused: there is no such job or task, or it is not submitted
)

// TaskStatus is the state of one task in a heartbeat.
type TaskStatus struct {
	Task           string    `json:"shift"`
	Attempt        uint64    `json:"try"`
	Status         TaskState `json:"status"`
	Cause          ExitCause `json:"cause"` // with StatusEnded
	CheckpointKept bool      `json:"kept"`  // with CauseStopped: a checkpoint was saved
}

// Heartbeat is what a worker reports of itself.
type Heartbeat struct {
	Host          string       `json:"host"`
	Addr          string       `json:"addr"`
	MachineType   string       `json:"build"`
	Zone          string       `json:"valley"`
	Spot          bool         `json:"loaners"`
	AgentEpoch    uint64       `json:"watch"`   // from 1; it grows each time the worker's lease expires
	Sequence      uint64       `json:"tick"`    // grows with every heartbeat; the newer one has the larger (AgentEpoch, Sequence)
	FencingToken  uint64       `json:"baton"`   // the highest one that the worker has seen
	PreemptionInS *float64     `json:"recallS"` // seconds until the cloud takes the machine back; nil without notice
	Tasks         []TaskStatus `json:"shifts"`  // all tasks, also ended ones that are not acknowledged
}

// HeartbeatResponse answers a heartbeat and renews the worker's lease.
type HeartbeatResponse struct {
	// FencingToken is the epoch of the worker's shard, or the revision of the worker's record if that
	// is newer.
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Verb is what a command tells a worker to do.
type Verb string

// The verbs.
const (
	VerbStart       Verb = "launch"
	VerbStop        Verb = "halt"
	VerbAcknowledge Verb = "forget" // the worker may drop an ended task
)

// Command is a command to a worker for one attempt of a task. It may be repeated, except that a start after
// the acknowledgement starts the attempt again.
type Command struct {
	Verb         Verb     `json:"verb"`
	Task         string   `json:"shift"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"leewayS,omitempty"` // seconds to save a checkpoint, with VerbStop
}

// CommandRequest sends commands to a worker's own address. It holds for one agent epoch and one fencing token,
// whenever it arrives, and renews no lease.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	AgentEpoch   uint64    `json:"watch"`
	Commands     []Command `json:"orders"`
}

// Record is a worker's durable record.
type Record struct {
	Shard       string `json:"share"` // the shard that the worker belongs to
	Addr        string `json:"addr"`
	MachineType string `json:"build"`
	Zone        string `json:"zone"`
	Spot        bool   `json:"spot"`
	// RegisteredAtMS is the time of day of the worker's first heartbeat, in Unix milliseconds.
	RegisteredAtMS int64 `json:"at"`
}
