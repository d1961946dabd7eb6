// Package tuning holds every constant of cherrywall that is not a setting,
// each with its unit and the reason for its value.
package tuning

import "time"

// State service.
const (
	// ControllerLeaseTTL is how long a controller may be silent before its shares are
	// taken over. Shorter than a restart, so that a crash does not leave
	// workers unanswered for the whole of it; longer than a slow answer.
	ControllerLeaseTTL = 4 * time.Second
	// ControllerLeaseRenewInterval renews the grant: three tries fit into one GrantTTL.
	ControllerLeaseRenewInterval = 1200 * time.Millisecond
	// RevisionReadInterval is how often the revision is asked for when no poll does so;
	// the answer dates the knowledge that lets a controller answer workers.
	RevisionReadInterval = time.Second
	// MinRevisionReadGap keeps at least this time between two reads of the revision, so
	// that a flood of polls shares them.
	MinRevisionReadGap = 20 * time.Millisecond
	// MinPollRevisionReadGap is the same when only polls wait: users give one up after 2 s, and
	// all controllers together may make no more than 150 requests a second.
	MinPollRevisionReadGap = 100 * time.Millisecond
	// StoreRequestTimeout ends a call to the state service. Answers take under 10 ms
	// and occasionally a few hundred.
	StoreRequestTimeout = 1500 * time.Millisecond
	// WatchRequestWait is how long one watch request waits (the service allows 60 s);
	// short enough that a watch on a dead connection is noticed.
	WatchRequestWait = 10 * time.Second
	// WatchStuckAfter restarts a watch that is behind a known revision for so long.
	WatchStuckAfter = 1200 * time.Millisecond
	// MinWatchRequestGap is the least time between two watch requests: with many changes
	// the watches of all controllers would eat the request budget otherwise.
	MinWatchRequestGap = 100 * time.Millisecond
	// MinRetryDelay and RetryMax bound the pause after a failed call.
	MinRetryDelay = 200 * time.Millisecond
	MaxRetryDelay = 2 * time.Second
	// ControllerBudgetFraction is the part of the service's limits one controller
	// allows itself; above 1/nodes, since the others are rarely all busy.
	ControllerBudgetFraction = 0.5
	// EvenBudgetFraction of 1/nodes is what a controller comes down to when the service
	// refuses; the rest is for the counting of bursts.
	EvenBudgetFraction = 0.95
	// BusyControllerBudgetFraction is the most that one controller takes while the others tell that
	// they use little: they may all begin at once, and a beat tells it half a second
	// later.
	BusyControllerBudgetFraction = 0.6
	// ReportedBudgetFactor of the limits is shared out by what controllers tell each other: above
	// one, since a refusal costs a few tens of milliseconds and a wait for budget that
	// another does not use after all may cost more.
	ReportedBudgetFactor = 1.25
	// BudgetUsageSmoothingPeriod is over how long the use is smoothed that is told to the others.
	BudgetUsageSmoothingPeriod = 500 * time.Millisecond
	// BudgetBackoffFactor is the factor by which its part falls with a refusal, and
	// rises again after BudgetRegain without one.
	BudgetBackoffFactor    = 0.85
	BudgetRecoveryInterval = 2 * time.Second
	// RateLimitedAttempts is how often a request that the service refuses for its limits
	// is made in all, BusyPause the first pause between: a budget of 50 changes
	// a second has regained a few by then.
	RateLimitedAttempts   = 4
	RateLimitedRetryDelay = 30 * time.Millisecond
	// RecordValueFraction of the largest value is used by a job's record; the rest is for
	// the service's own counting of bytes and for fields to come.
	RecordValueFraction = 0.8
	// MaxTxnBytes is how much one transaction writes at most: the service takes 64 KiB, with
	// its keys and conditions.
	MaxTxnBytes = 48 << 10
	// MaxChunkedRecordBytes is how long a record may be that is kept in parts: what a user may send
	// at the most, and a half of it for what comes with it.
	MaxChunkedRecordBytes = 96 << 10
	// MaxCachedChunkedRecords is how many records in parts are remembered whole (entries). There are few.
	MaxCachedChunkedRecords = 64
	// MaxChunkPointerBytes is more than any record takes that names parts.
	MaxChunkPointerBytes = 128
	// ChunkCleanupInterval is how often parts without a record are looked for; what is written in a
	// moment is named by its record long before a second look.
	ChunkCleanupInterval = time.Minute
	// ValueMarginBytes is left of the largest value of all, should the service count a little
	// more than the value (bytes).
	ValueMarginBytes = 16
	// MinValueKB and LeastTxnOps are the least limits of the state service that the
	// program can work with: a job of usual size, and the end of a job with a range.
	MinValueKB = 1.0
	MinTxnOps  = 4
	// BudgetPollInterval is how often a caller that leaves budget to more urgent ones
	// looks again.
	BudgetPollInterval = 20 * time.Millisecond
	// WatchTimeoutMargin is how much longer than asked a watch may take to answer.
	WatchTimeoutMargin = 5 * time.Second
	// IdleConnectionTimeout ends connections that are not used.
	IdleConnectionTimeout = 30 * time.Second
	// DialTimeout ends a try to connect; a silent host gives no error.
	DialTimeout = time.Second
	// ListPageRows is the number of rows read at once (the service allows 1,000).
	ListPageRows = 500
)

// Users.
const (
	// RetryAfterSeconds (s) is told to users when a request cannot be taken now.
	RetryAfterSeconds = 1
	// HealthGracePeriod is how long a controller without the state service still
	// calls itself healthy: leaving and returning costs more than a short gap.
	HealthGracePeriod = 5 * time.Second
	// IsolatedHealthGracePeriod is the same while another controller is served: a few of the
	// reads that are made each second have failed by then.
	IsolatedHealthGracePeriod = 2500 * time.Millisecond
	// MaxHealthStatusAge is how old the actor's word on its health may be: several ticks.
	MaxHealthStatusAge = 2 * time.Second
	// MaxWaitingPolls bounds the polls that wait for an answer; those above are refused
	// at once, so that a storm of them leaves time for everything else. 500 a second
	// share reads every PollGap.
	MaxWaitingPolls = 96
	// ReadHeaderTimeout ends a request whose head does not come.
	ReadHeaderTimeout = 5 * time.Second
	// UserConnectionIdleTimeout ends a connection that asks nothing; users poll every 5 s.
	UserConnectionIdleTimeout = 2 * time.Minute
	// CLIRequestTimeout ends a question of the command line; a controller answers
	// or refuses within 5 s.
	CLIRequestTimeout = 10 * time.Second
	// MaxCachedFinalStates is how many final states are remembered (entries).
	MaxCachedFinalStates = 4096
	// MaxConcurrentFinalStateReads is how many jobs' ends are asked for at once that others wait for and
	// that are not known; FatesAgain when again if there was none or no answer. A job takes
	// one request, and 100 jobs that ended before a start are known within a second or two.
	MaxConcurrentFinalStateReads = 8
	FinalStateReadRetryInterval  = 2 * time.Second
	// MaxConcurrentDependentCancellations is how many jobs behind a cancelled one are cancelled at once by a
	// controller, two changes each: their users are answered by what follows from the
	// cancellation, so there is no haste.
	MaxConcurrentDependentCancellations = 2
	// MaxRequestBodyBytes is the limit of a request body (bytes), from the protocol.
	MaxRequestBodyBytes = 64 << 10
)

// Workers.
const (
	// MaxClockDrift is the protocol's bound on the drift of steady clocks.
	MaxClockDrift = 0.0005
	// LeaseExpiryMargin is added to every time after which a worker's tasks count as
	// gone: timers fire in steps and a busy processor runs late.
	LeaseExpiryMargin = 500 * time.Millisecond
	// UnreachableReleaseDelay is how long after its lease a silent worker is returned.
	UnreachableReleaseDelay = 20 * time.Second
	// MaxUnseenTokenAnswers is after how many answers with the present token, none of which shows in
	// the next report, a worker is answered no more: what is said to it does not arrive, and
	// only if nobody answers it can it be known when its lease is over.
	MaxUnseenTokenAnswers = 3
	// InboundLossThreshold is how often in a row orders of an answer do not show in the next report, or
	// a lease ends though reports were answered, until a worker counts as deaf. Once is an
	// answer that was lost.
	InboundLossThreshold = 2
	// InboundLossReleaseDelay is after how long a deaf worker is returned, at the least: a machine that
	// runs nothing is paid all the same. Two leases, if they are longer.
	InboundLossReleaseDelay = time.Minute
	// MaxListedQuarantinedRecords is how many records that can't be followed are told of (entries), AsideBytes
	// how much of each.
	MaxListedQuarantinedRecords = 100
	MaxQuarantinedRecordBytes   = 200
	// MaxRememberedRemovedMachines is how many names of machines that are no more are remembered, against late
	// copies of their reports (entries); a busy day of lumenweg uses up 2,500.
	MaxRememberedRemovedMachines = 8192
	// MaxHeartbeatAge is the age at which a report is not worth an answer: the worker
	// gives it up after 4 s.
	MaxHeartbeatAge = 3 * time.Second
	// BusyHeartbeatAnswerDelay is how long a report may wait for orders: a worker reports no
	// change within half a second of its last report anyway.
	BusyHeartbeatAnswerDelay = 400 * time.Millisecond
	// IdleHeartbeatAnswerDelay is the same for a worker without tasks, which has no change to
	// report but a notice; it gives an unanswered report up after 4 s.
	IdleHeartbeatAnswerDelay = 2 * time.Second
	// MaxConcurrentFirstContacts bounds the workers that are greeted at the same time after a
	// takeover (sockets; the processor's part is ContactPart). One that takes longer than GreetSlow, many times what
	// an answer needs, is most likely silent and no longer counts, up to GreetMost in
	// all (sockets). GreetTimeout ends one greeting.
	MaxConcurrentFirstContacts = 16
	SlowFirstContactAfter      = 150 * time.Millisecond
	MaxOpenFirstContacts       = 160
	FirstContactTimeout        = time.Second
	// FirstContactCPUFraction of the processor's share is for the first contacts with the workers of
	// a share that has a new holder; each makes the worker report once more, so that twice
	// of it is spent, and the rest is for users and decisions. ContactCost is what one
	// exchange costs of a core, measured from the socket to the answer; ContactBurst is
	// the time whose contacts may come at once.
	FirstContactCPUFraction = 0.2
	FirstContactCPUTime     = 150 * time.Microsecond
	FirstContactBurst       = 100 * time.Millisecond
	// HeartbeatAfterTokenDelay is the time in which a worker that was told a new token reports again
	// by itself: half a second, and on its way.
	HeartbeatAfterTokenDelay = 1200 * time.Millisecond
	// HeartbeatAnswerLifetime is after how long no answer to a worker's report can reach it any more: it
	// gives up after 4 s (protocol), and clocks drift a little.
	HeartbeatAnswerLifetime = 4500 * time.Millisecond
	// DirectCommandCPUFraction of the processor's share is for what is said to workers at their own
	// addresses besides greetings: a cancelled array of 2,000 tasks that fetch their image is
	// told of within some seconds. DirectAtOnce bounds the exchanges at the same time
	// (sockets), DirectOrders what one of them says (60 bytes each, 64 KiB in all).
	DirectCommandCPUFraction    = 0.1
	MaxConcurrentDirectCommands = 16
	MaxCommandsPerDirectRequest = 500
	// DirectRequestInterval is how often a worker that does not report is asked at its own address, and
	// after how long one that did not answer is told again; a user expects to hear of a job's
	// end within 3 s. DirectAgain is the pause while an order may still be on its way to it,
	// DirectLately how long an answer shows that it is well: a round of 400 silent ones.
	DirectRequestInterval   = 2 * time.Second
	DirectRequestRetryDelay = 300 * time.Millisecond
	DirectAnswerValidity    = 30 * time.Second
	// HeartbeatOverdueMargin is added to a report interval, a quarter of it and the time for which its
	// last report may have waited for the answer: then a worker should have reported.
	HeartbeatOverdueMargin = time.Second
	// MaxStartKnowledgeAge is how old the knowledge of cancellations may be at which a task is ordered
	// to start: twice a slow answer of the state service. As long, at the most, a user waits
	// for the confirmation of a cancellation, until every controller that holds a part of
	// the job knows it or may start nothing.
	MaxStartKnowledgeAge = 3 * time.Second
	// StartKnowledgeMargin is added to it where a user waits: timers fire in steps.
	StartKnowledgeMargin = 50 * time.Millisecond
	// CancellationConfirmWait is how long that confirmation waits for workers of this controller that
	// were told to stop what has not begun: several times an exchange.
	CancellationConfirmWait = 300 * time.Millisecond
	// CancellationConfirmPollInterval is how often that is looked at.
	CancellationConfirmPollInterval = 20 * time.Millisecond
	// CancellationAnnouncePeriod is how long a cancellation is told to the other controllers, CancelsTold how
	// many at once (entries).
	CancellationAnnouncePeriod = 10 * time.Second
	MaxAnnouncedCancellations  = 64
	// AcquisitionTrackingPeriod is how long after a taking orders count as part of it.
	AcquisitionTrackingPeriod = 10 * time.Second
	// UnreconciledShardReportAfter is from when on an unsettled share is told to people: longer than silent
	// machines can hold it up.
	UnreconciledShardReportAfter = 90 * time.Second
	// MinReportedJobWait is the least wait of a job that is named among the troubles: below it is an
	// ordinary claim.
	MinReportedJobWait = 10 * time.Second
	// ProblemLogInterval is how often what lasts is logged: often enough to be found beside its
	// cause, seldom enough to be read.
	ProblemLogInterval = 30 * time.Second
	// MaxListedNames is how many names a view lists where there may be hundreds.
	MaxListedNames = 8
	// MaxGangWorkersRecorded is how many workers the mark of a gang names at most: some 10 bytes each
	// in a value of 1 KiB at the least, beside what else its record tells.
	MaxGangWorkersRecorded = 64
	// MaxQueuedHeartbeats is how many reports wait for the records or for a share to be taken:
	// those of a few thousand workers, 2 kB each.
	MaxQueuedHeartbeats = 4096
	// MinInboundSilence is the least silence of all workers of a controller that makes it
	// ask some of them; with few workers it is three of their report intervals.
	MinInboundSilence = 2 * time.Second
	// ReachabilityProbeInterval parts two such questions, ProbeWorkers are asked at once.
	ReachabilityProbeInterval = time.Second
	ReachabilityProbeWorkers  = 5
	// ReachabilityProbeSuccesses questions answered in a row, and DeafPause, doubled each time,
	// bring a controller back that reached no worker; after DeafMemory without it
	// the first pause holds again.
	ReachabilityProbeSuccesses = 3
	InboundLossBackoff         = 3 * time.Second
	InboundLossBackoffReset    = 5 * time.Minute
	// ProcessStallThreshold is a gap between two ticks that shows that this process was held or
	// starved: several times TickEvery.
	ProcessStallThreshold = 1500 * time.Millisecond
	// MaxDirectHeartbeatBytes bounds a report read from a worker (bytes): as many tasks
	// as a machine can hold, and more.
	MaxDirectHeartbeatBytes = 1 << 20
	// MinMachineListGap is the least time between two readings of the machine list
	// for workers that do not report.
	MinMachineListGap = 3 * time.Second
	// MaxListLagFactor is how many times its stated lag the machine list may be behind
	// where a rule rests on it: the protocol says twice, operators saw it lag far
	// more than usual.
	MaxListLagFactor = 4
	// ListAbsenceMargin is added to that before a machine that is not
	// listed counts as gone: clocks of controllers differ a little.
	ListAbsenceMargin = 5 * time.Second
	// WorkerReconnectPeriod is how long a worker that nobody answers may take to find the
	// controller that holds its share now: a few tries of 4 s and 1 s.
	WorkerReconnectPeriod = 10 * time.Second
	// MachineQuarantineFailures is how many failed tasks in a row, of at least two jobs
	// or with none done in between, take a machine out of use.
	MachineQuarantineFailures = 3
	// MinJobBackoff is the first pause of a job that fails on several machines.
	MinJobBackoff = 10 * time.Second
	// MaxJobBackoff bounds that pause.
	MaxJobBackoff = 5 * time.Minute
	// JobFaultMachines is on how many machines a job must fail before the job is
	// blamed and not the machines.
	JobFaultMachines = 3
	// JobFaultFailureFactor times JobErrorHosts failures blame a job even if there are
	// too few machines to compare.
	JobFaultFailureFactor = 4
	// SuspectMachinePause is how long a machine on which several jobs failed is left alone
	// while it shows whether they work elsewhere: a few of their retries.
	SuspectMachinePause = 10 * time.Second
	// JobWorksAfter and twice the time for which a failing task ran is how long
	// another of its job must run to show that the job works.
	JobWorksAfter = 3 * time.Second
)

// Other controllers.
const (
	// MinSuspicionTimeout is how long a controller's beat has to be away at the least until it is
	// suspected: three are missing. On days of lumenweg-ops-fleet, at 9.6% of a core, no gap
	// was above 0.9 s but where a controller had ended.
	MinSuspicionTimeout = 1500 * time.Millisecond
	// HeartbeatGapWeight is the weight of a new gap between beats in their mean, GapDeviations how many
	// deviations beyond it are no reason for suspicion, BeatsLearned after how many beats a
	// link is known.
	HeartbeatGapWeight     = 0.05
	HeartbeatGapDeviations = 8
	MinHeartbeatGapSamples = 4
	// SuspicionSuppressionPeriod is how long a controller that stood still, or lost the state service,
	// accuses nobody after that.
	SuspicionSuppressionPeriod = 3 * time.Second
	// OwnerActivityValidity is how long a record that only a holder writes shows that it lives.
	OwnerActivityValidity = 1200 * time.Millisecond
	// PeerHeartbeatInterval is how often a controller tells the others of itself.
	PeerHeartbeatInterval = 500 * time.Millisecond
	// PeerIdleTimeout ends a connection that says nothing: several beats.
	PeerIdleTimeout = 4 * time.Second
	// PeerTimeout ends a try to connect or to write, and parts two tries.
	PeerTimeout = time.Second
	// MaxPeerFrameBytes bounds a frame (bytes); a beat has a few hundred.
	MaxPeerFrameBytes = 64 << 10
	// MaxTransferChunkTasks is how many tasks, and machines counted as one each, a piece of a share
	// that is handed over tells of: at some 110 bytes each it fits a frame beside a beat.
	MaxTransferChunkTasks = 400
	// MaxPendingTransferChunks is how many pieces a share may have, and may wait to be sent: some
	// 50,000 tasks, which takes a tenth of a second of a core to write.
	MaxPendingTransferChunks = 128
	// TransferTimeout is how long a holder prepares to hand a share over, and how long, once it has,
	// it waits for the share to be taken before it takes it back. Pieces take some 100 ms.
	TransferTimeout = 2 * time.Second
	// TransferRequestTimeout is how long a controller that wants its share back waits for it to be handed
	// over before it takes it without: after it was held for seconds its link to the
	// holder is up again after two, and the holder serves the share meanwhile.
	TransferRequestTimeout = 6 * time.Second
	// StrayWorkerFraction of a share's workers, coming to its home within StrayFor (a report
	// interval) though another controller holds it, show that they can't reach that one.
	StrayWorkerFraction = 0.1
	StrayWorkerWindow   = 5 * time.Second
	// ShutdownTransferTimeout bounds the time in which a controller that is told to end hands its
	// shares over: they are asked for within a beat, and given one after the other.
	// LeaveWord is the time for its last word to the state service.
	ShutdownTransferTimeout  = 4 * time.Second
	ShutdownLastWriteTimeout = 250 * time.Millisecond
	// TransferRetryDelay is how long a share that was given in vain is not given again: its
	// workers were not answered meanwhile.
	TransferRetryDelay = 30 * time.Second
	// MaxPeerHeartbeatShapes bounds the shapes whose counts a beat carries.
	MaxPeerHeartbeatShapes = 12
	// MaxPeerHeartbeatFaultyJobs is how many jobs at fault are told at most; more than a few at a time
	// mean that it is not the jobs.
	MaxPeerHeartbeatFaultyJobs = 32
)

// The taking of shares.
const (
	// StartupGracePeriod is how long a controller that has just come to life leaves the shares of
	// others alone: when all start together the last was 1.5 s behind the first.
	StartupGracePeriod = 2 * time.Second
	// AcquisitionWindow is how far back takings of a share count, TakingsFree how many of
	// them mean nothing: a crash and the return from it, twice. Beyond them its home
	// waits for ReturnPause before it takes the share back from one that lives, doubled
	// with each more, up to ReturnPauseMost: a minute, in which a machine that was kept
	// waiting all along would have been rented anew. TakingsKept are recorded.
	AcquisitionWindow        = 2 * time.Minute
	MaxUndelayedAcquisitions = 3
	MaxRecordedAcquisitions  = 8
	MinShardReturnDelay      = 5 * time.Second
	MaxShardReturnDelay      = time.Minute
)

// Decisions.
const (
	// TickInterval is how often leases, writes and idle machines are looked at.
	TickInterval = 250 * time.Millisecond
	// MachineCheckTicks is in how many ticks all machines held are looked at, at least
	// CheckAtOnce of them in each: four are a second.
	MachineCheckTicks       = 4
	MinMachineChecksPerTick = 64
	// MaintenanceInterval is how often idle and surplus machines are looked for, and machines
	// are moved to other shares: it walks all machines held, and nothing it decides
	// changes sooner.
	MaintenanceInterval = time.Second
	// HeapLimitFraction of the allowance is the soft limit of the heap; the rest is for
	// what the runtime's count leaves out.
	HeapLimitFraction = 0.6
	// GCPercent lets the heap grow to several times what is in use before it
	// is collected (below the soft limit): processor time is short, memory is not.
	GCPercent = 400
	// RecountInterval is how often the counts are recomputed in full (the paper: one
	// minute; the design: 5 s).
	RecountInterval = 5 * time.Second
	// MinCycleInterval is the least time between two rounds of decisions, so that
	// bursts of events share one.
	MinCycleInterval = 40 * time.Millisecond
	// MinHeartbeatCycleInterval is the least time between rounds that a report asks for: its
	// answer should carry what takes the room it frees.
	MinHeartbeatCycleInterval = 25 * time.Millisecond
	// ClaimStaggerDelay delays the claim of a job taken by another controller, so
	// that the one that accepted it goes first and conflicts are rare.
	ClaimStaggerDelay = 120 * time.Millisecond
	// MachineFailureWindow is how far back lost machines count for the healing buffer.
	MachineFailureWindow = 10 * time.Minute
	// MaxRecordedMachineFailures bounds how many of them are remembered.
	MaxRecordedMachineFailures = 256
	// SurplusPlacementDelay is how long an array waits before it takes a machine that is
	// wanted empty: about a report, in which cheap room shows in some share.
	SurplusPlacementDelay = 1500 * time.Millisecond
	// JobOverdueAfter is how long a job may wait without any task begun until it goes before
	// all others, for one task or as a gang. The users count a day as failed if a largest
	// job begins after four minutes; a gang's room takes one run of another gang to fall
	// free, a minute or so.
	JobOverdueAfter = 150 * time.Second
	// GangReservationPeriod is how long room is kept for an overdue gang at a time: two or three runs of
	// gangs of usual length.
	GangReservationPeriod = 2 * time.Minute
	// RunTimeSpread is by which part of the usual run time the slowest of many tasks runs
	// longer, SpanOver how long a job takes besides (seconds): claim, order, an image of a
	// gigabyte or two, the last report and the record of the end.
	RunTimeSpread      = 0.5
	JobOverheadSeconds = 6.0
	// DeadlineAtRiskMargin is how long before its latest start for an aim a gang goes before those
	// that have more time: a few times in which room for it falls free.
	DeadlineAtRiskMargin = 20 * time.Second
	// AgingPeriod orders arrays without a deadline, or past all of them: as if they
	// had to start so long after their arrival, so that they are not starved. A gang
	// that waits for so long goes before all others of its priority.
	AgingPeriod = 5 * time.Minute
	// BackgroundSpotOnlyPeriod is how long background work has only cheap machines rented
	// for it. BackgroundHorizon is the time in which it should be worked off then.
	BackgroundSpotOnlyPeriod = 150 * time.Second
	BackgroundHorizon        = 150 * time.Second
	// CompletionWriteDelay gathers finished tasks into one write. Until it is made, the
	// workers keep the results, so nothing is lost by waiting; what completes a
	// job is written at once.
	CompletionWriteDelay = 2 * time.Second
	// ClaimAheadPeriod is how far ahead an array's tasks are claimed: as many as the
	// running ones are likely to make room for in this time. Each claim costs
	// changes in the state service; a task that waits in a share can't be taken
	// by another.
	ClaimAheadPeriod = 5 * time.Second
	// UnclaimAfter gives tasks back when none of their range has found room on
	// its share for so long: not shorter than ClaimAhead.
	UnclaimAfter = 5 * time.Second
	// RangeSplitAfter is the same for tasks in the middle of a range, where a machine was lost: it
	// is split, which costs a record more. Nobody is to wait for 90 s while there is room.
	RangeSplitAfter = 25 * time.Second
	// MaxSmallJobTasks is the most tasks of an array that is claimed in its own record:
	// they all run in one share, so few that no share could not hold them.
	MaxSmallJobTasks = 4
	// CompletionBatchInterval gathers completed small jobs into one change: a user expects to
	// hear of the end within 3 s.
	CompletionBatchInterval = time.Second
	// MaxCompletionBatchJobs is the most jobs of one pack; 400 names of 12 bytes fit a value of
	// 8 KiB (a pack is full earlier if they don't).
	MaxCompletionBatchJobs = 400
	// TidyEvery, TidyChanges, TidyQuiet and TidyAbove: packed jobs get records of
	// their own in steps of so many changes, when nothing was submitted for a
	// while, or when there are more of them than a controller should read at its
	// start.
	BatchCleanupInterval    = time.Second
	BatchCleanupChanges     = 16
	BatchCleanupQuietPeriod = 5 * time.Second
	BatchCleanupBacklog     = 4000
	// BackgroundUnclaimAfter is the same for background work, which is in no hurry.
	BackgroundUnclaimAfter = 30 * time.Second
	// MaxRangeTasks is the most tasks of one claimed range; its bitmap must fit the
	// smallest value the state service may be set to (1 KiB).
	MaxRangeTasks = 4000
	// MinRunTimeSampleWeight is the least weight of a new run time in the mean by which the
	// owners' estimates are corrected: the last twenty count most.
	MinRunTimeSampleWeight = 0.05
	// MinEstimateRatio and RatioMost bound that correction: beyond them it is more
	// likely that a few odd tasks were seen.
	MinEstimateRatio = 0.3
	MaxEstimateRatio = 3.0
	// TieBreakWeight decides between places or zones that cost the same otherwise
	// (per CPU or machine): small against every real difference.
	TieBreakWeight = 0.001
	// ScoreImage, ScoreKept, ScoreOrdinary and ScoreSafe order the machines that
	// an array may take; fullness counts up to 1. One with the image goes before a
	// fuller one, kept room before surplus, kept ordinary room before cheap, and
	// before all of that what urgent gangs do not allow.
	ScoreCachedImage = 2.0
	ScoreRetained    = 4.0
	ScoreOnDemand    = 4.0
	ScoreGangSafe    = 16.0
	// RankNoRoom and AfterPreemption are ranks among controllers for a gang that are
	// behind every count of free tasks: no room at all, room only by stopping.
	RankNoRoom          = 1 << 20
	RankAfterPreemption = 1 << 18
	// AttemptBits is how many attempts one tenure of a share can number.
	AttemptBits = 20
	// GangConsolidationDelay is how long a gang that no share can hold waits before idle
	// workers are moved together for it.
	GangConsolidationDelay = 3 * time.Second
	// MaxPreemptionWait is how long a gang waits for room that is being cleared
	// before its plan is given up.
	MaxPreemptionWait = 20 * time.Second
)

// Fleet.
const (
	// DemandCheckInterval is how often demand is looked at.
	DemandCheckInterval = time.Second
	// MachineListInterval is how often the machine list is read.
	MachineListInterval = 10 * time.Second
	// MachineTypeListInterval is how often types and prices are read.
	MachineTypeListInterval = 60 * time.Second
	// CloudRequestTimeout ends a call to the cloud.
	CloudRequestTimeout = 5 * time.Second
	// ScaleOutDelay is how long a task must wait unclaimed before machines are
	// rented for it: claims by other controllers take a moment.
	ScaleOutDelay = 700 * time.Millisecond
	// NoRoomScaleOutDelay is how long an array may find no room at all before a machine
	// is rented for it against all reckoning.
	NoRoomScaleOutDelay = 15 * time.Second
	// ScaleOutPlanAttempts is how often a round of renting is planned anew when the cloud
	// has less than was asked for: types times kinds, of which there are few.
	ScaleOutPlanAttempts = 5
	// CloudBudgetFraction of the cloud's limit is used by one controller: only one rents,
	// the others return machines now and then, many at a time.
	CloudBudgetFraction = 0.7
	// MinScaleInRequestGap is the least time between two requests to return machines.
	MinScaleInRequestGap = time.Second
	// CapacityRefusalBackoff is how long a refused type, zone and kind is not asked again.
	CapacityRefusalBackoff = 15 * time.Second
	// WorkHorizon is the time in which waiting array tasks should be worked off
	// if neither a deadline nor an aim of their class says more.
	WorkHorizon = 60 * time.Second
	// DeadlineTargetFraction is the part of a deadline that is planned for; the rest is for
	// wrong estimates, lost machines and image fetches.
	DeadlineTargetFraction = 0.7
	// MinWorkHorizon bounds how many machines a job that is late can ask for.
	MinWorkHorizon = 20 * time.Second
	// BootTimeoutFactor is after how many times the usual boot time a machine that has not
	// come up is returned; BootPatience is the most, in times of startupS.
	BootTimeoutFactor    = 4
	MaxBootTimeoutFactor = 8
	// BootTimeChangeFraction is by which part a learned boot time must differ from the recorded
	// one to be recorded.
	BootTimeChangeFraction = 0.2
	// ConsolidationInterval parts two machines that are emptied because their long tasks
	// find room on fuller ones; GatherLeast is what such a task must still have
	// before it, and twice as long as it must have run since its last start.
	ConsolidationInterval   = time.Second
	MinConsolidationRunTime = time.Minute
	// MinChargedPeriod is what a machine that is returned costs at least, counted from
	// its rental; from the protocol.
	MinChargedPeriod = time.Minute
	// MinIdlePeriod and IdleMost bound how long a machine stays idle before it is
	// returned; between them it is what booting another one costs.
	MinIdlePeriod = 10 * time.Second
	MaxIdlePeriod = 50 * time.Second
	// ArrivalWindow is how far back arrivals count for the growth buffers; a
	// class that has sent nothing for so long has no buffer.
	ArrivalWindow = 2 * time.Minute
	// MaxRecordedArrivals bounds how many arrivals of a class are remembered.
	MaxRecordedArrivals = 128
	// MinClassPause and PauseMost bound the pause (twice the mean gap) after which
	// a class counts as having stopped.
	MinClassPause = 15 * time.Second
	MaxClassPause = 40 * time.Second
	// PendingMachineGracePeriod is added to the patience with a booting machine before it is
	// no longer expected.
	PendingMachineGracePeriod = time.Minute
	// MaxScaleOutPerRequest is the protocol's bound on one request.
	MaxScaleOutPerRequest = 50
	// MaxScaleInPerRequest is the same for returning machines.
	MaxScaleInPerRequest = 100
	// AutoscalerLeaseTTL is the time to live of the renting right.
	AutoscalerLeaseTTL = 6 * time.Second
)

// Actors.
const (
	// MailboxCapacity is how many messages may wait for an actor before those that send more
	// wait themselves: a report of each of a thousand workers.
	MailboxCapacity = 1024
)

// Pipeline files.
const (
	// MaxPipelineFileBytes is the longest file: 500 jobs take some 100 kB.
	MaxPipelineFileBytes = 256 << 10
	// MaxPipelineJobs is how many jobs a file may have, copies counted: the record of their
	// states must fit a value of the state service, at a byte each and a few more for
	// those that are tried again.
	MaxPipelineJobs = 1000
	// MaxPipelineNodes bounds what aliases and extends unfold to, in parts of the file; a
	// job has some 40, and is copied twice.
	MaxPipelineNodes = 400_000
	// MaxPipelineDepth bounds how deep parts of a file may lie in each other.
	MaxPipelineDepth = 64
	// MaxPipelineRetries is how often a job may be tried again at most, whatever its class
	// allows.
	MaxPipelineRetries = 10
	// MaxPipelineDuration is the longest time that a file may name.
	MaxPipelineDuration = 60 * 24 * time.Hour
)

// Runs of pipeline files.
const (
	// RunTickInterval is how often the jobs of runs are looked at: half of what users wait for a
	// final state to be told.
	RunTickInterval = 250 * time.Millisecond
	// RunProgressWriteInterval is how often the progress of a run is recorded that the core could
	// tell as well, if RunRecordJobs have gone on: it spares the next leader questions, at
	// one change each.
	RunProgressWriteInterval = 30 * time.Second
	RunProgressWriteJobs     = 20
	// RunWriteRetryDelay is the pause after a write that was refused: the watch tells meanwhile
	// what has changed.
	RunWriteRetryDelay = 2 * MinWatchRequestGap
	// MaxConcurrentRunRequests is how many submissions and withdrawals of runs are under way at once: users'
	// own must find room between them.
	MaxConcurrentRunRequests = 16
	// MaxCachedEndedRuns is how many ended runs are remembered, the others are asked for.
	MaxCachedEndedRuns = 200
	// RunProgressReserveBytes is kept free in a run's record for the states of its jobs, tries
	// and times of some of them included.
	RunProgressReserveBytes = 2048
	// MaxRunNameBytes is the longest name of a run.
	MaxRunNameBytes = 200
	// RunCancelAttempts is how often a cancellation is tried, at WatchGap, while the run's
	// record changes under it; 2 s, as long as users wait for an answer to a poll.
	RunCancelAttempts = 20
	// MaxPlanBytes bounds a plan unpacked, some 500 bytes for each of PipelineJobs.
	MaxPlanBytes = 4 << 20
)

// The command line, as a client.
const (
	// CLIRetryTimeout is how long a request is repeated: as long as the platform's users
	// repeat a submission.
	CLIRetryTimeout = 60 * time.Second
	// MaxCLIRetryDelay is the longest pause that a controller may ask for between two tries.
	MaxCLIRetryDelay = 30 * time.Second
	// CLIPollInterval is how often a command that waits asks how things stand.
	CLIPollInterval = time.Second
)

// Allocations of quotas.
const (
	// ContendedAllocationReleaseDelay is how long a part of an allocation is of no use in a share before it is
	// given back while the team has work that nobody has claimed: longer than a task that
	// ends and the next that starts in its place.
	ContendedAllocationReleaseDelay = 500 * time.Millisecond
	// AllocationReleaseDelay is the same while it has none: the next work may come anywhere.
	AllocationReleaseDelay = 10 * time.Second
	// QuotaShortfallValidity is how long a share counts as lacking what it lacked in a round of
	// decisions: rounds are that close while anything happens.
	QuotaShortfallValidity = time.Second
)
