package tuning

import "time"

// Leases and heartbeats of workers.
const (
	// MaxClockDrift is the protocol's bound on the drift of monotonic clocks (fraction).
	MaxClockDrift = 0.0005
	// LeaseExpiryMargin is added to every time after which a worker's lease counts as expired:
	// timers fire in steps and a busy processor runs late.
	LeaseExpiryMargin = 500 * time.Millisecond
	// MaxHeartbeatAge is the age from which a heartbeat is no longer answered: the worker gives it
	// up after 4 s.
	MaxHeartbeatAge = 3 * time.Second
	// BusyHeartbeatAnswerDelay is how long the answer to a heartbeat may wait for commands: a
	// worker reports no change within half a second of its last heartbeat anyway.
	BusyHeartbeatAnswerDelay = 400 * time.Millisecond
	// IdleHeartbeatAnswerDelay is the same for a worker without tasks, which has no change to
	// report but a preemption notice. It gives an unanswered heartbeat up after 4 s.
	IdleHeartbeatAnswerDelay = 2 * time.Second
	// HeartbeatAnswerLifetime is the time after which no answer to a heartbeat can reach its
	// worker any more: the worker gives up after 4 s (protocol), and clocks drift a little.
	HeartbeatAnswerLifetime = 4500 * time.Millisecond
	// HeartbeatOverdueMargin is added to a heartbeat interval, a quarter of it and the time for
	// which the last heartbeat may have waited for its answer; then a heartbeat is overdue.
	HeartbeatOverdueMargin = time.Second
	// MaxQueuedHeartbeats is how many heartbeats wait until the records are read or a shard is
	// acquired: those of a few thousand workers, 2 kB each.
	MaxQueuedHeartbeats = 4096
	// WorkerReconnectPeriod is how long a worker that nobody answers may take to find the
	// controller that owns its shard now: a few attempts of 4 s and 1 s.
	WorkerReconnectPeriod = 10 * time.Second
	// UnreachableReleaseDelay is how long after its lease expired an unreachable worker's
	// machine is scaled in.
	UnreachableReleaseDelay = 20 * time.Second
	// MaxRememberedRemovedMachines is how many names of removed machines are remembered,
	// against late copies of their heartbeats (entries). A busy day of the lumenweg deployment
	// uses up 2,500.
	MaxRememberedRemovedMachines = 8192
)

// Task starts and the knowledge on which they rest.
const (
	// MaxStartKnowledgeAge is how old the knowledge of cancellations may be at which a task is
	// started: twice a slow answer of the key-value store. A user waits at most as long for the
	// confirmation of a cancellation, until every controller that owns a part of the job has
	// learned of it or may start nothing.
	MaxStartKnowledgeAge = 3 * time.Second
	// StartKnowledgeMargin is added to it where a user waits: timers fire in steps.
	StartKnowledgeMargin = 50 * time.Millisecond
	// MaxGangWorkersRecorded is how many workers a gang's record names at most: some 10 bytes
	// each in a value of at least 1 KiB, beside the other fields.
	MaxGangWorkersRecorded = 64
	// AttemptBits is how many attempts can be numbered in one epoch of a shard (bits).
	AttemptBits = 20
)

// The first contact with the workers of a newly acquired shard.
const (
	// MaxConcurrentFirstContacts bounds the workers that are contacted at the same time
	// (sockets). The processor time is bounded by FirstContactCPUFraction.
	MaxConcurrentFirstContacts = 16
	// SlowFirstContactAfter is many times what an answer takes. A contact that lasts longer
	// most likely meets an unreachable worker and no longer counts towards
	// MaxConcurrentFirstContacts.
	SlowFirstContactAfter = 150 * time.Millisecond
	// MaxOpenFirstContacts bounds all contacts at the same time, slow ones included (sockets).
	MaxOpenFirstContacts = 160
	// FirstContactTimeout ends one contact.
	FirstContactTimeout = time.Second
	// FirstContactCPUFraction of the processor allowance is for first contacts. Each makes the
	// worker send one more heartbeat, so that twice of it is spent; the rest is for users and
	// scheduling.
	FirstContactCPUFraction = 0.2
	// FirstContactCPUTime is what one exchange costs of a core, measured from the socket to the
	// answer.
	FirstContactCPUTime = 150 * time.Microsecond
	// FirstContactBurst is the time whose contacts may be made at once.
	FirstContactBurst = 100 * time.Millisecond
	// HeartbeatAfterTokenDelay is the time in which a worker that was given a new fencing token
	// sends its next heartbeat by itself: half a second, and the transmission.
	HeartbeatAfterTokenDelay = 1200 * time.Millisecond
	// AcquisitionTrackingPeriod is how long after the acquisition of a shard commands count as
	// part of it.
	AcquisitionTrackingPeriod = 10 * time.Second
)

// Direct requests to workers at their own addresses.
const (
	// DirectCommandCPUFraction of the processor allowance is for direct commands, apart from
	// first contacts: a cancelled array of 2,000 tasks that fetch their image is stopped within
	// some seconds.
	DirectCommandCPUFraction = 0.1
	// MaxConcurrentDirectCommands bounds the exchanges at the same time (sockets).
	MaxConcurrentDirectCommands = 16
	// MaxCommandsPerDirectRequest bounds the commands in one exchange (60 bytes each, 64 KiB in
	// all).
	MaxCommandsPerDirectRequest = 500
	// DirectRequestInterval is how often a worker without heartbeats is asked at its own
	// address, and after how long one that did not answer is sent its commands again. Users
	// expect to learn of a job's end within 3 s.
	DirectRequestInterval = 2 * time.Second
	// DirectRequestRetryDelay is the pause while a command may still be on its way.
	DirectRequestRetryDelay = 300 * time.Millisecond
	// DirectAnswerValidity is how long an answer shows that the worker is well: one pass over
	// 400 workers without heartbeats.
	DirectAnswerValidity = 30 * time.Second
	// MaxDirectHeartbeatBytes bounds a status read from a worker: as many tasks as a machine
	// can run, and more.
	MaxDirectHeartbeatBytes = 1 << 20
)

// One-way reachability: a worker or a controller that receives nothing.
const (
	// MaxUnseenTokenAnswers is after how many answers with the current fencing token, none of
	// which shows in the next heartbeat, a worker is no longer answered. It does not receive
	// what is sent, and only if nobody answers it is the end of its lease known.
	MaxUnseenTokenAnswers = 3
	// InboundLossThreshold is how many times in a row the commands of an answer do not show in
	// the next heartbeat, or a lease expires though heartbeats were answered, until a worker
	// counts as receiving nothing. Once may be a lost answer.
	InboundLossThreshold = 2
	// InboundLossReleaseDelay is the least time after which a machine whose worker receives
	// nothing is scaled in: it runs nothing and is paid all the same. Two leases, if longer.
	InboundLossReleaseDelay = time.Minute
	// MinInboundSilence is the least time without any worker's heartbeat after which a
	// controller probes some workers. With few workers it is three of their heartbeat
	// intervals.
	MinInboundSilence = 2 * time.Second
	// ReachabilityProbeInterval is the time between two such probes.
	ReachabilityProbeInterval = time.Second
	// ReachabilityProbeWorkers is how many workers one probe asks.
	ReachabilityProbeWorkers = 5
	// ReachabilityProbeSuccesses is how many successful probes in a row bring a controller back
	// that received no heartbeats.
	ReachabilityProbeSuccesses = 3
	// InboundLossBackoff is the first pause before it comes back, doubled each time.
	InboundLossBackoff = 3 * time.Second
	// InboundLossBackoffReset is the time without such a loss after which the first pause
	// applies again.
	InboundLossBackoffReset = 5 * time.Minute
)
