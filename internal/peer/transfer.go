package peer

import (
	"time"

	"cherrywall/internal/workerapi"
)

// TransferChunk is a part of what the owner of a shard knows about the shard. It is sent to the
// controller that is to own the shard next.
type TransferChunk struct {
	Shard        string
	Epoch        uint64 // the epoch under which the sender owns the shard
	Index, Total int    // the number of this chunk, from 0, and the number of chunks
	Machines     []MachineSnapshot
}

// MachineSnapshot is the state of a machine as the owner of its shard knows it. A snapshot without a
// Host lists tasks that are done but not recorded as done.
type MachineSnapshot struct {
	Host                     string
	AgentEpoch, HeartbeatSeq uint64 // as in the machine's last heartbeat
	EndedAgentEpoch          uint64 // agent sessions up to this one have ended
	Lost                     bool   // the machine's lease has expired
	Preempted                bool   // the machine is a spot machine that the cloud reclaims
	Drained                  bool
	Empty                    bool // the machine's last heartbeat listed no task
	AwaitingHeartbeat        bool // the machine is enrolled, but has sent no heartbeat yet
	Tasks                    []TaskSnapshot
}

// TaskSnapshot is the state of a task as the owner of its shard knows it.
type TaskSnapshot struct {
	Name          string
	Attempt       uint64
	Status        workerapi.TaskState // as last reported by the worker
	StartSent     bool                // a start command was sent
	Reported      bool                // a heartbeat of the worker has listed the task
	StopRequested bool                // the task is to be stopped, with GraceSeconds to save its checkpoint
	StopSent      bool                // a stop command was sent
	GraceSeconds  float64
	Foreign       bool          // the task does not belong to the shard, and the worker only has to stop it
	RunningFor    time.Duration // 0 if the task is not known to run
}
