package tuning

import "time"

// Leases and heartbeats of workers.
const (
	// MaxClockDrift is the maximum drift of monotonic clocks (fraction), given by the
	// protocol.
	MaxClockDrift = 0.0005
	// LeaseExpiryMargin is added to every time after which a worker's lease counts as expired,
	// since timers have a limited resolution, and fire late on a busy processor.
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
	// HeartbeatAnswerLifetime is the time after which no answer to a heartbeat can reach its worker
	// any more: by the protocol the worker stops waiting after 4 s, and clocks drift slightly.
	HeartbeatAnswerLifetime = 4500 * time.Millisecond
	// HeartbeatOverdueMargin is added to one and a quarter heartbeat intervals and the maximum
	// delay of the last answer. If no heartbeat arrives for the sum, the next heartbeat is overdue.
	HeartbeatOverdueMargin = time.Second
	// MaxQueuedHeartbeats is how many heartbeats may wait until the records are read or a shard is
	// acquired: one heartbeat from each of a few thousand workers, at 2 kB each.
	MaxQueuedHeartbeats = 4096
	// WorkerReconnectPeriod is how long a worker whose heartbeats nobody answers may take to find
	// the controller that now owns its shard: a few attempts of 4 s with pauses of 1 s.
	WorkerReconnectPeriod = 10 * time.Second
	// UnreachableReleaseDelay is the time from the expiry of an unreachable worker's lease
	// until its machine is scaled in.
	UnreachableReleaseDelay = 20 * time.Second
	// MaxRememberedRemovedMachines is the maximum number of removed machines whose names are
	// remembered, so that late copies of their heartbeats are recognized. A busy day of the
	// lumenweg deployment uses up 2,500 names.
	MaxRememberedRemovedMachines = 8192
)

// Task starts and the records that they depend on.
const (
	// MaxStartKnowledgeAge is how old a controller's knowledge of cancellations may be when it
	// starts a task: twice the time of a slow answer of the key-value store. The response to a
	// cancellation waits for about this time at most: by then each controller that owns a part of
	// the job either knows of the cancellation or may not start tasks.
	MaxStartKnowledgeAge = 3 * time.Second
	// StartKnowledgeMargin is added to MaxStartKnowledgeAge where the response to a user waits for
	// that time, since timers have a limited resolution.
	StartKnowledgeMargin = 50 * time.Millisecond
	// MaxGangWorkersRecorded is the maximum number of workers that a gang's record names. At about
	// 10 bytes each they fit a value of 1 KiB together with the other fields.
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
	// SlowFirstContactAfter is the duration from which a contact counts as slow: many times the
	// usual duration of an answer. The worker is most likely unreachable, so the contact no longer
	// counts towards MaxConcurrentFirstContacts.
	SlowFirstContactAfter = 150 * time.Millisecond
	// MaxOpenFirstContacts is the maximum number of concurrent contacts, including the slow ones.
	// Each takes one socket.
	MaxOpenFirstContacts = 160
	// FirstContactTimeout is the maximum duration of one contact.
	FirstContactTimeout = time.Second
	// FirstContactCPUFraction is the fraction of the controller's processor limit that first
	// contacts may use. Each contact also makes the worker send one more heartbeat, which takes
	// as much processor time as the contact itself. The rest of the processor time is for users and
	// scheduling.
	FirstContactCPUFraction = 0.2
	// FirstContactCPUTime is the processor time of one exchange, from the socket to the answer.
	FirstContactCPUTime = 150 * time.Microsecond
	// FirstContactBurst determines how many contacts may be made in a burst: as many as the rate
	// limit allows in this time.
	FirstContactBurst = 100 * time.Millisecond
	// HeartbeatAfterTokenDelay is the time within which the next heartbeat of a worker that was
	// given a new fencing token arrives without a request: the worker sends it half a second
	// later, and the rest is for the transmission.
	HeartbeatAfterTokenDelay = 1200 * time.Millisecond
	// AcquisitionTrackingPeriod is the time after the acquisition of a shard in which commands to
	// its workers are counted as part of the acquisition.
	AcquisitionTrackingPeriod = 10 * time.Second
)

// Direct requests to workers at their own addresses.
const (
	// DirectRequestCPUFraction is the fraction of the controller's processor limit that direct
	// requests other than first contacts may use. It suffices to stop, within a few seconds, a
	// cancelled array of 2,000 tasks that are fetching their image.
	DirectRequestCPUFraction = 0.1
	// MaxConcurrentDirectRequests is the maximum number of concurrent exchanges, each over one
	// socket.
	MaxConcurrentDirectRequests = 16
	// MaxCommandsPerDirectRequest bounds the commands in one exchange. A command takes 60 bytes,
	// and a request may have 64 KiB.
	MaxCommandsPerDirectRequest = 500
	// DirectRequestInterval is how often a worker without heartbeats is contacted at its own
	// address, and the time after which commands are sent again to a worker that did not
	// answer. Users expect to learn of a job's end within 3 s.
	DirectRequestInterval = 2 * time.Second
	// DirectRequestRetryDelay is the pause before the next request while a command may still
	// be in flight.
	DirectRequestRetryDelay = 300 * time.Millisecond
	// DirectAnswerValidity is how long an answer proves that the worker is running: the duration of
	// one pass over 400 workers without heartbeats.
	DirectAnswerValidity = 30 * time.Second
	// MaxDirectHeartbeatBytes bounds the size of the status that a worker sends in its answer. The
	// status of all tasks that a machine can run is smaller.
	MaxDirectHeartbeatBytes = 1 << 20
)

// One-way reachability: a worker or a controller that receives nothing.
const (
	// MaxUnconfirmedTokenAnswers is the maximum number of answers with the current fencing token
	// that are sent to a worker whose heartbeats do not show the token. Such a worker
	// presumably does not receive the answers. It must not be answered any longer: an answer may
	// renew its lease, so the end of the lease is known only if nobody answers the worker.
	MaxUnconfirmedTokenAnswers = 3
	// InboundLossThreshold is the number of losses in a row after which a worker counts as
	// receiving nothing. A loss is an answer whose commands do not show in the next heartbeat, or a
	// lease that expires although heartbeats were answered. A single loss may be a lost answer.
	InboundLossThreshold = 2
	// InboundLossReleaseDelay is the time for which a machine whose worker receives nothing is
	// kept. If twice the duration of a lease is longer, that time applies instead. Then the machine
	// is scaled in, since it runs nothing and is charged all the same.
	InboundLossReleaseDelay = time.Minute
	// MinInboundSilence is the minimum time without a heartbeat from any worker after which a
	// controller probes some workers. With few workers, the time in which three heartbeats are
	// usually received is longer, and the controller waits for that time instead.
	MinInboundSilence = 2 * time.Second
	// ReachabilityProbeInterval is the time between two probes of workers.
	ReachabilityProbeInterval = time.Second
	// ReachabilityProbeWorkers is how many workers one probe contacts.
	ReachabilityProbeWorkers = 5
	// ReachabilityProbeSuccesses is the number of successful probes in a row after which a
	// controller that was unreachable for its workers counts as reachable again.
	ReachabilityProbeSuccesses = 3
	// InboundLossBackoff is the minimum time for which a controller that its workers could not
	// reach counts as unreachable. It doubles each time the controller becomes unreachable again.
	InboundLossBackoff = 3 * time.Second
	// InboundLossBackoffReset is the time for which a controller must be reachable before the
	// doubling of InboundLossBackoff starts anew.
	InboundLossBackoffReset = 5 * time.Minute
)
