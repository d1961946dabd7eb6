package tuning

import "time"

// Leases and heartbeats of workers.
const (
	// MaxClockDrift is the maximum drift of monotonic clocks (fraction), given by the
	// protocol.
	MaxClockDrift = 0.0005
	// LeaseExpiryMargin is added to every time after which a worker's lease counts as expired:
	// timers fire in steps, and late on a busy processor.
	LeaseExpiryMargin = 500 * time.Millisecond
	// MaxHeartbeatAge is the age from which a heartbeat is no longer answered: the worker
	// stops waiting after 4 s.
	MaxHeartbeatAge = 3 * time.Second
	// BusyHeartbeatAnswerDelay is how long the answer to a heartbeat may wait for commands.
	// The wait delays no report, since a worker reports no change within half a second of its
	// last heartbeat.
	BusyHeartbeatAnswerDelay = 400 * time.Millisecond
	// IdleHeartbeatAnswerDelay replaces BusyHeartbeatAnswerDelay for a worker without tasks,
	// which has no change to report except a preemption notice. The worker stops waiting for
	// an answer after 4 s.
	IdleHeartbeatAnswerDelay = 2 * time.Second
	// HeartbeatAnswerLifetime is the time after which no answer to a heartbeat can reach its
	// worker any more: the worker stops waiting after 4 s (protocol), and clocks drift
	// slightly.
	HeartbeatAnswerLifetime = 4500 * time.Millisecond
	// HeartbeatOverdueMargin is added to a heartbeat interval, a quarter of that interval, and
	// the time for which the answer to the last heartbeat may have been delayed. After the sum
	// the next heartbeat is overdue.
	HeartbeatOverdueMargin = time.Second
	// MaxQueuedHeartbeats is how many heartbeats may wait until the records are read or a
	// shard is acquired: those of a few thousand workers, 2 kB each.
	MaxQueuedHeartbeats = 4096
	// WorkerReconnectPeriod is how long a worker whose heartbeats nobody answers may take to
	// find the controller that now owns its shard: a few attempts of 4 s and 1 s.
	WorkerReconnectPeriod = 10 * time.Second
	// UnreachableReleaseDelay is the time from the expiry of an unreachable worker's lease
	// until its machine is scaled in.
	UnreachableReleaseDelay = 20 * time.Second
	// MaxRememberedRemovedMachines is how many names of removed machines are remembered, so
	// that late copies of their heartbeats are recognized (entries). A busy day of the
	// lumenweg deployment uses up 2,500 names.
	MaxRememberedRemovedMachines = 8192
)

// Task starts and the records that they depend on.
const (
	// MaxStartKnowledgeAge is how old a controller's knowledge of cancellations may be when it
	// starts a task: twice the time of a slow answer of the key-value store. The confirmation
	// of a cancellation makes a user wait at most as long, until every controller that owns a
	// part of the job has learned of the cancellation or may start nothing.
	MaxStartKnowledgeAge = 3 * time.Second
	// StartKnowledgeMargin is added to MaxStartKnowledgeAge where a user waits, since timers
	// fire in steps.
	StartKnowledgeMargin = 50 * time.Millisecond
	// MaxGangWorkersRecorded is the maximum number of workers that a gang's record names:
	// about 10 bytes each in a value of at least 1 KiB, besides the other fields.
	MaxGangWorkersRecorded = 64
	// AttemptBits is the size of the attempt number within one epoch of a shard (bits).
	AttemptBits = 20
)

// The first contact with the workers of a newly acquired shard.
const (
	// MaxConcurrentFirstContacts is the maximum number of workers that are contacted
	// concurrently, each over one socket. The processor time of the contacts is limited
	// separately, by FirstContactCPUFraction.
	MaxConcurrentFirstContacts = 16
	// SlowFirstContactAfter is many times the usual duration of an answer. A contact that
	// lasts longer has most likely met an unreachable worker and no longer counts towards
	// MaxConcurrentFirstContacts.
	SlowFirstContactAfter = 150 * time.Millisecond
	// MaxOpenFirstContacts is the maximum number of concurrent contacts including slow ones,
	// each over one socket.
	MaxOpenFirstContacts = 160
	// FirstContactTimeout ends one contact.
	FirstContactTimeout = time.Second
	// FirstContactCPUFraction is the fraction of the processor allowance for first contacts.
	// Each contact makes the worker send one more heartbeat, so that the total cost is twice
	// this fraction. The rest is for users and scheduling.
	FirstContactCPUFraction = 0.2
	// FirstContactCPUTime is the processor time of one exchange, measured from the socket to
	// the answer.
	FirstContactCPUTime = 150 * time.Microsecond
	// FirstContactBurst is the size of a burst of contacts, as the time in which the rate
	// limit allows that many.
	FirstContactBurst = 100 * time.Millisecond
	// HeartbeatAfterTokenDelay is the time within which a worker that was given a new fencing
	// token sends its next heartbeat unasked: half a second, and the transmission.
	HeartbeatAfterTokenDelay = 1200 * time.Millisecond
	// AcquisitionTrackingPeriod is how long after the acquisition of a shard commands are
	// counted as part of the acquisition.
	AcquisitionTrackingPeriod = 10 * time.Second
)

// Direct requests to workers at their own addresses.
const (
	// DirectRequestCPUFraction is the fraction of the processor allowance for direct commands
	// other than first contacts. It suffices to stop a cancelled array of 2,000 tasks that are
	// fetching their image within a few seconds.
	DirectRequestCPUFraction = 0.1
	// MaxConcurrentDirectRequests is the maximum number of concurrent exchanges, each over one
	// socket.
	MaxConcurrentDirectRequests = 16
	// MaxCommandsPerDirectRequest bounds the commands in one exchange (60 bytes each, 64 KiB in
	// all).
	MaxCommandsPerDirectRequest = 500
	// DirectRequestInterval is how often a worker without heartbeats is contacted at its own
	// address, and the time after which commands are sent again to a worker that did not
	// answer. Users expect to learn of a job's end within 3 s.
	DirectRequestInterval = 2 * time.Second
	// DirectRequestRetryDelay is the pause before the next request while a command may still
	// be in flight.
	DirectRequestRetryDelay = 300 * time.Millisecond
	// DirectAnswerValidity is how long an answer shows that the worker is running: the
	// duration of one pass over 400 workers without heartbeats.
	DirectAnswerValidity = 30 * time.Second
	// MaxDirectHeartbeatBytes bounds the status that is read from a worker. It is more than
	// the status of all tasks that a machine can run.
	MaxDirectHeartbeatBytes = 1 << 20
)

// One-way reachability: a worker or a controller that receives nothing.
const (
	// MaxUnconfirmedTokenAnswers is the number of answers with the current fencing token after
	// which a worker is no longer answered if none of its heartbeats shows the token. The
	// worker does not receive the answers, and the end of its lease is known only if nobody
	// answers it.
	MaxUnconfirmedTokenAnswers = 3
	// InboundLossThreshold is the number of losses in a row after which a worker counts as
	// receiving nothing. In a loss, the commands of an answer do not show in the next
	// heartbeat, or a lease expires although heartbeats were answered. A single loss may be a
	// lost answer.
	InboundLossThreshold = 2
	// InboundLossReleaseDelay is the minimum time after which a machine whose worker receives
	// nothing is scaled in: it runs nothing and is charged all the same. If two leases last
	// longer, they replace it.
	InboundLossReleaseDelay = time.Minute
	// MinInboundSilence is the minimum time without a heartbeat from any worker after which a
	// controller probes some workers. With few workers it waits for three missing heartbeats,
	// which takes longer.
	MinInboundSilence = 2 * time.Second
	// ReachabilityProbeInterval is the time between two such probes.
	ReachabilityProbeInterval = time.Second
	// ReachabilityProbeWorkers is how many workers one probe contacts.
	ReachabilityProbeWorkers = 5
	// ReachabilityProbeSuccesses is the number of successful probes in a row after which a
	// controller that received no heartbeats counts as reachable again.
	ReachabilityProbeSuccesses = 3
	// InboundLossBackoff is the first pause before such a controller counts as reachable
	// again. It doubles with each loss.
	InboundLossBackoff = 3 * time.Second
	// InboundLossBackoffReset is the time without a loss after which the first pause applies
	// again.
	InboundLossBackoffReset = 5 * time.Minute
)
