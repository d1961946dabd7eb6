// Package peer implements the protocol between controllers: FlatBuffers frames over TCP.
//
// Every controller sends a Heartbeat to each of the others twice a second, and immediately when
// there is something urgent. Heartbeats may be lost, delayed or out of date, so no safety property
// depends on their arrival. They serve to distinguish a partition from an outage of the key-value store,
// make failovers and cancellations faster, and carry the state of shards that are transferred, in
// chunks.
package peer

import "time"

// Heartbeat is one message, which describes the state of its sender.
type Heartbeat struct {
	Node        string // the controller's name
	Incarnation uint64 // identifies the run of the sender's process
	// StoreSilentFor is the time since the key-value store last responded to the sender.
	StoreSilentFor time.Duration
	Synced         bool // the sender's cache of the key-value store is complete
	Shards         []Shard
	Capacities     []ShapeCapacity
	// RequestsPerSecond and WritesPerSecond are the sender's present rates of requests and of writes
	// to the key-value store.
	RequestsPerSecond, WritesPerSecond float64
	// FaultyJobs are jobs that failed on several of the sender's machines on which other jobs
	// succeed.
	FaultyJobs []string
	// RequestedShards are the shards that the sender requests from their owners.
	RequestedShards []string
	// Leaving announces the sender's shutdown. From then on the sender transfers its shards to any
	// controller that requests them.
	Leaving bool
	// Suspects are the controllers whose heartbeats to the sender are overdue.
	Suspects []string
	// AppliedRevision is the revision of the key-value store up to which the sender knows all
	// changes.
	AppliedRevision uint64
	// CancelledJobs are the jobs that were cancelled recently.
	CancelledJobs []CancelledJob
	// TransferChunk is a part of the state of a shard that the sender transfers to the
	// recipient, nil if there is none.
	TransferChunk *TransferChunk
	// MadeAtMicros is when the heartbeat was made, in microseconds since the sender's process started.
	MadeAtMicros uint64
	// Observed are the latest heartbeats that the sender has received, one of each other controller.
	// They show the receiver which of its own heartbeats this one was made after, and so bound the age
	// of this one by the receiver's own clock.
	Observed []ObservedHeartbeat
	// CancellationsKnownAfter is the revision above which CancelledJobs has all cancellations that the
	// sender knows, except those that every controller knows.
	CancellationsKnownAfter uint64
}

// ObservedHeartbeat identifies a heartbeat that was received.
type ObservedHeartbeat struct {
	Node         string
	Incarnation  uint64
	MadeAtMicros uint64
}

// Shard is the ownership of a shard as the sender knows it.
type Shard struct {
	ID, Owner string
	Epoch     uint64
}

// ShapeCapacity is how many more tasks of a shape fit on the sender's machines in a zone.
type ShapeCapacity struct {
	CPU, GPU, Mem float64 // the shape: CPU cores, GPUs and GB of memory for each task
	Zone          string
	Free          int // tasks that fit without preemption
	Preemptible   int // further tasks that fit if less urgent ones are preempted
}

// CancelledJob is a job that was cancelled by the record written at Revision.
type CancelledJob struct {
	Ref            string
	Revision       uint64
	CompletedTasks int // number of the job's tasks that were done at Revision
	// WorkersNotified reports whether the sender has notified all those of its workers that it can
	// reach of the cancellation.
	WorkersNotified bool
}
