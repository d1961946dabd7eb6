// Package tuning holds every constant of cherrywall that is not a setting,
// each with its unit and the reason for its value.
package tuning

import "time"

// State service.
const (
	// GrantTTL is how long a controller may be silent before its shares are
	// taken over. Shorter than a restart, so that a crash does not leave
	// workers unanswered for the whole of it; longer than a slow answer.
	GrantTTL = 4 * time.Second
	// TouchEvery renews the grant: three tries fit into one GrantTTL.
	TouchEvery = 1200 * time.Millisecond
	// FreshEvery is how often the revision is asked for when no poll does so;
	// the answer dates the knowledge that lets a controller answer workers.
	FreshEvery = time.Second
	// ReadGap keeps at least this time between two reads of the revision, so
	// that a flood of polls shares them.
	ReadGap = 20 * time.Millisecond
	// PollGap is the same when only polls wait: users give one up after 2 s, and
	// all controllers together may make no more than 150 requests a second.
	PollGap = 100 * time.Millisecond
	// StateTimeout ends a call to the state service. Answers take under 10 ms
	// and occasionally a few hundred.
	StateTimeout = 1500 * time.Millisecond
	// WatchWait is how long one watch request waits (the service allows 60 s);
	// short enough that a watch on a dead connection is noticed.
	WatchWait = 10 * time.Second
	// WatchStuck restarts a watch that is behind a known revision for so long.
	WatchStuck = 1200 * time.Millisecond
	// WatchGap is the least time between two watch requests: with many changes
	// the watches of all controllers would eat the request budget otherwise.
	WatchGap = 100 * time.Millisecond
	// RetryMin and RetryMax bound the pause after a failed call.
	RetryMin = 200 * time.Millisecond
	RetryMax = 2 * time.Second
	// NodeShareOfBudget is the part of the service's limits one controller
	// allows itself; above 1/nodes, since the others are rarely all busy.
	NodeShareOfBudget = 0.5
	// EvenPart of 1/nodes is what a controller comes down to when the service
	// refuses; the rest is for the counting of bursts.
	EvenPart = 0.95
	// AloneOfBudget is the most that one controller takes while the others tell that
	// they use little: they may all begin at once, and a beat tells it half a second
	// later.
	AloneOfBudget = 0.6
	// ToldPart of the limits is shared out by what controllers tell each other: above
	// one, since a refusal costs a few tens of milliseconds and a wait for budget that
	// another does not use after all may cost more.
	ToldPart = 1.25
	// UseMean is over how long the use is smoothed that is told to the others.
	UseMean = 500 * time.Millisecond
	// BudgetBackOff is the factor by which its part falls with a refusal, and
	// rises again after BudgetRegain without one.
	BudgetBackOff = 0.85
	BudgetRegain  = 2 * time.Second
	// BusyTries is how often a request that the service refuses for its limits
	// is made in all, BusyPause the first pause between: a budget of 50 changes
	// a second has regained a few by then.
	BusyTries = 4
	BusyPause = 30 * time.Millisecond
	// ValuePart of the largest value is used by a job's record; the rest is for
	// the service's own counting of bytes and for fields to come.
	ValuePart = 0.8
	// TxnBytes is how much one transaction writes at most: the service takes 64 KiB, with
	// its keys and conditions.
	TxnBytes = 48 << 10
	// RecordBytes is how long a record may be that is kept in parts: what a user may send
	// at the most, and a half of it for what comes with it.
	RecordBytes = 96 << 10
	// PartsRead is how many records in parts are remembered whole (entries). There are few.
	PartsRead = 64
	// PointerBytes is more than any record takes that names parts.
	PointerBytes = 128
	// PartsSweep is how often parts without a record are looked for; what is written in a
	// moment is named by its record long before a second look.
	PartsSweep = time.Minute
	// ValueMargin is left of the largest value of all, should the service count a little
	// more than the value (bytes).
	ValueMargin = 16
	// LeastValueKB and LeastTxnOps are the least limits of the state service that the
	// program can work with: a job of usual size, and the end of a job with a range.
	LeastValueKB = 1.0
	LeastTxnOps  = 4
	// BudgetPoll is how often a caller that leaves budget to more urgent ones
	// looks again.
	BudgetPoll = 20 * time.Millisecond
	// WatchSlack is how much longer than asked a watch may take to answer.
	WatchSlack = 5 * time.Second
	// ConnIdle ends connections that are not used.
	ConnIdle = 30 * time.Second
	// DialTimeout ends a try to connect; a silent host gives no error.
	DialTimeout = time.Second
	// ListPage is the number of rows read at once (the service allows 1,000).
	ListPage = 500
)

// Users.
const (
	// RetryAfter (s) is told to users when a request cannot be taken now.
	RetryAfter = 1
	// HealthGrace is how long a controller without the state service still
	// calls itself healthy: leaving and returning costs more than a short gap.
	HealthGrace = 5 * time.Second
	// AloneAfter is the same while another controller is served: a few of the
	// reads that are made each second have failed by then.
	AloneAfter = 2500 * time.Millisecond
	// HealthStale is how old the actor's word on its health may be: several ticks.
	HealthStale = 2 * time.Second
	// PollsAtOnce bounds the polls that wait for an answer; those above are refused
	// at once, so that a storm of them leaves time for everything else. 500 a second
	// share reads every PollGap.
	PollsAtOnce = 96
	// HeaderTimeout ends a request whose head does not come.
	HeaderTimeout = 5 * time.Second
	// UserIdle ends a connection that asks nothing; users poll every 5 s.
	UserIdle = 2 * time.Minute
	// CommandTimeout ends a question of the command line; a controller answers
	// or refuses within 5 s.
	CommandTimeout = 10 * time.Second
	// FinalCache is how many final states are remembered (entries).
	FinalCache = 4096
	// FatesAtOnce is how many jobs' ends are asked for at once that others wait for and
	// that are not known; FatesAgain when again if there was none or no answer. A job takes
	// one request, and 100 jobs that ended before a start are known within a second or two.
	FatesAtOnce = 8
	FatesAgain  = 2 * time.Second
	// DoomedAtOnce is how many jobs behind a cancelled one are cancelled at once by a
	// controller, two changes each: their users are answered by what follows from the
	// cancellation, so there is no haste.
	DoomedAtOnce = 2
	// MaxBody is the limit of a request body (bytes), from the protocol.
	MaxBody = 64 << 10
)

// Workers.
const (
	// ClockDrift is the protocol's bound on the drift of steady clocks.
	ClockDrift = 0.0005
	// LeaseMargin is added to every time after which a worker's tasks count as
	// gone: timers fire in steps and a busy processor runs late.
	LeaseMargin = 500 * time.Millisecond
	// SilentRelease is how long after its lease a silent worker is returned.
	SilentRelease = 20 * time.Second
	// ToldInVain is after how many answers with the present token, none of which shows in
	// the next report, a worker is answered no more: what is said to it does not arrive, and
	// only if nobody answers it can it be known when its lease is over.
	ToldInVain = 3
	// DeafAfter is how often in a row orders of an answer do not show in the next report, or
	// a lease ends though reports were answered, until a worker counts as deaf. Once is an
	// answer that was lost.
	DeafAfter = 2
	// DeafRelease is after how long a deaf worker is returned, at the least: a machine that
	// runs nothing is paid all the same. Two leases, if they are longer.
	DeafRelease = time.Minute
	// AsideKept is how many records that can't be followed are told of (entries), AsideBytes
	// how much of each.
	AsideKept  = 100
	AsideBytes = 200
	// BuriedKept is how many names of machines that are no more are remembered, against late
	// copies of their reports (entries); a busy day of lumenweg uses up 2,500.
	BuriedKept = 8192
	// ReportLate is the age at which a report is not worth an answer: the worker
	// gives it up after 4 s.
	ReportLate = 3 * time.Second
	// HoldBusy is how long a report may wait for orders: a worker reports no
	// change within half a second of its last report anyway.
	HoldBusy = 400 * time.Millisecond
	// HoldIdle is the same for a worker without tasks, which has no change to
	// report but a notice; it gives an unanswered report up after 4 s.
	HoldIdle = 2 * time.Second
	// GreetAtOnce bounds the workers that are greeted at the same time after a
	// takeover (sockets; the processor's part is ContactPart). One that takes longer than GreetSlow, many times what
	// an answer needs, is most likely silent and no longer counts, up to GreetMost in
	// all (sockets). GreetTimeout ends one greeting.
	GreetAtOnce  = 16
	GreetSlow    = 150 * time.Millisecond
	GreetMost    = 160
	GreetTimeout = time.Second
	// ContactPart of the processor's share is for the first contacts with the workers of
	// a share that has a new holder; each makes the worker report once more, so that twice
	// of it is spent, and the rest is for users and decisions. ContactCost is what one
	// exchange costs of a core, measured from the socket to the answer; ContactBurst is
	// the time whose contacts may come at once.
	ContactPart  = 0.2
	ContactCost  = 150 * time.Microsecond
	ContactBurst = 100 * time.Millisecond
	// ToldReports is the time in which a worker that was told a new token reports again
	// by itself: half a second, and on its way.
	ToldReports = 1200 * time.Millisecond
	// AnswerDead is after how long no answer to a worker's report can reach it any more: it
	// gives up after 4 s (protocol), and clocks drift a little.
	AnswerDead = 4500 * time.Millisecond
	// DirectPart of the processor's share is for what is said to workers at their own
	// addresses besides greetings: a cancelled array of 2,000 tasks that fetch their image is
	// told of within some seconds. DirectAtOnce bounds the exchanges at the same time
	// (sockets), DirectOrders what one of them says (60 bytes each, 64 KiB in all).
	DirectPart   = 0.1
	DirectAtOnce = 16
	DirectOrders = 500
	// DirectEvery is how often a worker that does not report is asked at its own address, and
	// after how long one that did not answer is told again; a user expects to hear of a job's
	// end within 3 s. DirectAgain is the pause while an order may still be on its way to it,
	// DirectLately how long an answer shows that it is well: a round of 400 silent ones.
	DirectEvery  = 2 * time.Second
	DirectAgain  = 300 * time.Millisecond
	DirectLately = 30 * time.Second
	// OverdueMargin is added to a report interval, a quarter of it and the time for which its
	// last report may have waited for the answer: then a worker should have reported.
	OverdueMargin = time.Second
	// StartsFor is how old the knowledge of cancellations may be at which a task is ordered
	// to start: twice a slow answer of the state service. As long, at the most, a user waits
	// for the confirmation of a cancellation, until every controller that holds a part of
	// the job knows it or may start nothing.
	StartsFor = 3 * time.Second
	// StartsMargin is added to it where a user waits: timers fire in steps.
	StartsMargin = 50 * time.Millisecond
	// ConfirmTold is how long that confirmation waits for workers of this controller that
	// were told to stop what has not begun: several times an exchange.
	ConfirmTold = 300 * time.Millisecond
	// ConfirmLook is how often that is looked at.
	ConfirmLook = 20 * time.Millisecond
	// CancelTold is how long a cancellation is told to the other controllers, CancelsTold how
	// many at once (entries).
	CancelTold  = 10 * time.Second
	CancelsTold = 64
	// StartFollowed is how long after a taking orders count as part of it.
	StartFollowed = 10 * time.Second
	// UnsettledLong is from when on an unsettled share is told to people: longer than silent
	// machines can hold it up.
	UnsettledLong = 90 * time.Second
	// WaitsNamed is the least wait of a job that is named among the troubles: below it is an
	// ordinary claim.
	WaitsNamed = 10 * time.Second
	// TroublesTold is how often what lasts is logged: often enough to be found beside its
	// cause, seldom enough to be read.
	TroublesTold = 30 * time.Second
	// NamesShown is how many names a view lists where there may be hundreds.
	NamesShown = 8
	// MarkMost is how many workers the mark of a gang names at most: some 10 bytes each
	// in a value of 1 KiB at the least, beside what else its record tells.
	MarkMost = 64
	// EarlyReports is how many reports wait for the records or for a share to be taken:
	// those of a few thousand workers, 2 kB each.
	EarlyReports = 4096
	// DeafLeast is the least silence of all workers of a controller that makes it
	// ask some of them; with few workers it is three of their report intervals.
	DeafLeast = 2 * time.Second
	// ProbeEvery parts two such questions, ProbeWorkers are asked at once.
	ProbeEvery   = time.Second
	ProbeWorkers = 5
	// ProbesWell questions answered in a row, and DeafPause, doubled each time,
	// bring a controller back that reached no worker; after DeafMemory without it
	// the first pause holds again.
	ProbesWell = 3
	DeafPause  = 3 * time.Second
	DeafMemory = 5 * time.Minute
	// HeldFor is a gap between two ticks that shows that this process was held or
	// starved: several times TickEvery.
	HeldFor = 1500 * time.Millisecond
	// MaxDirectReport bounds a report read from a worker (bytes): as many tasks
	// as a machine can hold, and more.
	MaxDirectReport = 1 << 20
	// ListSuspects is the least time between two readings of the machine list
	// for workers that do not report.
	ListSuspects = 3 * time.Second
	// ListLagMost is how many times its stated lag the machine list may be behind
	// where a rule rests on it: the protocol says twice, operators saw it lag far
	// more than usual.
	ListLagMost = 4
	// ListMargin is added to that before a machine that is not
	// listed counts as gone: clocks of controllers differ a little.
	ListMargin = 5 * time.Second
	// ComeOver is how long a worker that nobody answers may take to find the
	// controller that holds its share now: a few tries of 4 s and 1 s.
	ComeOver = 10 * time.Second
	// QuarantineErrors is how many failed tasks in a row, of at least two jobs
	// or with none done in between, take a machine out of use.
	QuarantineErrors = 3
	// JobBackoff is the first pause of a job that fails on several machines.
	JobBackoff = 10 * time.Second
	// JobBackoffMax bounds that pause.
	JobBackoffMax = 5 * time.Minute
	// JobErrorHosts is on how many machines a job must fail before the job is
	// blamed and not the machines.
	JobErrorHosts = 3
	// BlameFailures times JobErrorHosts failures blame a job even if there are
	// too few machines to compare.
	BlameFailures = 4
	// DoubtPause is how long a machine on which several jobs failed is left alone
	// while it shows whether they work elsewhere: a few of their retries.
	DoubtPause = 10 * time.Second
	// WorksAfter and twice the time for which a failing task ran is how long
	// another of its job must run to show that the job works.
	WorksAfter = 3 * time.Second
)

// Other controllers.
const (
	// SuspectLeast is how long a controller's beat has to be away at the least until it is
	// suspected: three are missing. On days of lumenweg-ops-fleet, at 9.6% of a core, no gap
	// was above 0.9 s but where a controller had ended.
	SuspectLeast = 1500 * time.Millisecond
	// GapMean is the weight of a new gap between beats in their mean, GapDeviations how many
	// deviations beyond it are no reason for suspicion, BeatsLearned after how many beats a
	// link is known.
	GapMean       = 0.05
	GapDeviations = 8
	BeatsLearned  = 4
	// ListenFirst is how long a controller that stood still, or lost the state service,
	// accuses nobody after that.
	ListenFirst = 3 * time.Second
	// SeenLately is how long a record that only a holder writes shows that it lives.
	SeenLately = 1200 * time.Millisecond
	// BeatEvery is how often a controller tells the others of itself.
	BeatEvery = 500 * time.Millisecond
	// PeerIdle ends a connection that says nothing: several beats.
	PeerIdle = 4 * time.Second
	// PeerTimeout ends a try to connect or to write, and parts two tries.
	PeerTimeout = time.Second
	// MaxFrame bounds a frame (bytes); a beat has a few hundred.
	MaxFrame = 64 << 10
	// PieceTasks is how many tasks, and machines counted as one each, a piece of a share
	// that is handed over tells of: at some 110 bytes each it fits a frame beside a beat.
	PieceTasks = 400
	// PiecesWaiting is how many pieces a share may have, and may wait to be sent: some
	// 50,000 tasks, which takes a tenth of a second of a core to write.
	PiecesWaiting = 128
	// HandOver is how long a holder prepares to hand a share over, and how long, once it has,
	// it waits for the share to be taken before it takes it back. Pieces take some 100 ms.
	HandOver = 2 * time.Second
	// WantFor is how long a controller that wants its share back waits for it to be handed
	// over before it takes it without: after it was held for seconds its link to the
	// holder is up again after two, and the holder serves the share meanwhile.
	WantFor = 6 * time.Second
	// StrayPart of a share's workers, coming to its home within StrayFor (a report
	// interval) though another controller holds it, show that they can't reach that one.
	StrayPart = 0.1
	StrayFor  = 5 * time.Second
	// LeaveWithin bounds the time in which a controller that is told to end hands its
	// shares over: they are asked for within a beat, and given one after the other.
	// LeaveWord is the time for its last word to the state service.
	LeaveWithin = 4 * time.Second
	LeaveWord   = 250 * time.Millisecond
	// HandOverAgain is how long a share that was given in vain is not given again: its
	// workers were not answered meanwhile.
	HandOverAgain = 30 * time.Second
	// MaxBeatShapes bounds the shapes whose counts a beat carries.
	MaxBeatShapes = 12
	// MaxBeatBlamed is how many jobs at fault are told at most; more than a few at a time
	// mean that it is not the jobs.
	MaxBeatBlamed = 32
)

// The taking of shares.
const (
	// ColdWait is how long a controller that has just come to life leaves the shares of
	// others alone: when all start together the last was 1.5 s behind the first.
	ColdWait = 2 * time.Second
	// TakingMemory is how far back takings of a share count, TakingsFree how many of
	// them mean nothing: a crash and the return from it, twice. Beyond them its home
	// waits for ReturnPause before it takes the share back from one that lives, doubled
	// with each more, up to ReturnPauseMost: a minute, in which a machine that was kept
	// waiting all along would have been rented anew. TakingsKept are recorded.
	TakingMemory    = 2 * time.Minute
	TakingsFree     = 3
	TakingsKept     = 8
	ReturnPause     = 5 * time.Second
	ReturnPauseMost = time.Minute
)

// Decisions.
const (
	// TickEvery is how often leases, writes and idle machines are looked at.
	TickEvery = 250 * time.Millisecond
	// CheckParts is in how many ticks all machines held are looked at, at least
	// CheckAtOnce of them in each: four are a second.
	CheckParts  = 4
	CheckAtOnce = 64
	// UpkeepEvery is how often idle and surplus machines are looked for, and machines
	// are moved to other shares: it walks all machines held, and nothing it decides
	// changes sooner.
	UpkeepEvery = time.Second
	// MemoryShare of the allowance is the soft limit of the heap; the rest is for
	// what the runtime's count leaves out.
	MemoryShare = 0.6
	// GarbagePercent lets the heap grow to several times what is in use before it
	// is collected (below the soft limit): processor time is short, memory is not.
	GarbagePercent = 400
	// Recount is how often the counts are recomputed in full (the paper: one
	// minute; the design: 5 s).
	Recount = 5 * time.Second
	// DecideEvery is the least time between two rounds of decisions, so that
	// bursts of events share one.
	DecideEvery = 40 * time.Millisecond
	// DecideLeast is the least time between rounds that a report asks for: its
	// answer should carry what takes the room it frees.
	DecideLeast = 25 * time.Millisecond
	// ClaimStagger delays the claim of a job taken by another controller, so
	// that the one that accepted it goes first and conflicts are rare.
	ClaimStagger = 120 * time.Millisecond
	// FailureWindow is how far back lost machines count for the healing buffer.
	FailureWindow = 10 * time.Minute
	// MaxFailures bounds how many of them are remembered.
	MaxFailures = 256
	// SurplusAfter is how long an array waits before it takes a machine that is
	// wanted empty: about a report, in which cheap room shows in some share.
	SurplusAfter = 1500 * time.Millisecond
	// OverdueAfter is how long a job may wait without any task begun until it goes before
	// all others, for one task or as a gang. The users count a day as failed if a largest
	// job begins after four minutes; a gang's room takes one run of another gang to fall
	// free, a minute or so.
	OverdueAfter = 150 * time.Second
	// KeptFor is how long room is kept for an overdue gang at a time: two or three runs of
	// gangs of usual length.
	KeptFor = 2 * time.Minute
	// SpanSpread is by which part of the usual run time the slowest of many tasks runs
	// longer, SpanOver how long a job takes besides (seconds): claim, order, an image of a
	// gigabyte or two, the last report and the record of the end.
	SpanSpread = 0.5
	SpanOver   = 6.0
	// AtStake is how long before its latest start for an aim a gang goes before those
	// that have more time: a few times in which room for it falls free.
	AtStake = 20 * time.Second
	// LateAfter orders arrays without a deadline, or past all of them: as if they
	// had to start so long after their arrival, so that they are not starved. A gang
	// that waits for so long goes before all others of its priority.
	LateAfter = 5 * time.Minute
	// BackgroundPatience is how long background work has only cheap machines rented
	// for it. BackgroundHorizon is the time in which it should be worked off then.
	BackgroundPatience = 150 * time.Second
	BackgroundHorizon  = 150 * time.Second
	// DoneCoalesce gathers finished tasks into one write. Until it is made, the
	// workers keep the results, so nothing is lost by waiting; what completes a
	// job is written at once.
	DoneCoalesce = 2 * time.Second
	// ClaimAhead is how far ahead an array's tasks are claimed: as many as the
	// running ones are likely to make room for in this time. Each claim costs
	// changes in the state service; a task that waits in a share can't be taken
	// by another.
	ClaimAhead = 5 * time.Second
	// UnclaimAfter gives tasks back when none of their range has found room on
	// its share for so long: not shorter than ClaimAhead.
	UnclaimAfter = 5 * time.Second
	// SplitAfter is the same for tasks in the middle of a range, where a machine was lost: it
	// is split, which costs a record more. Nobody is to wait for 90 s while there is room.
	SplitAfter = 25 * time.Second
	// SmallJob is the most tasks of an array that is claimed in its own record:
	// they all run in one share, so few that no share could not hold them.
	SmallJob = 4
	// PackEvery gathers completed small jobs into one change: a user expects to
	// hear of the end within 3 s.
	PackEvery = time.Second
	// PackJobs is the most jobs of one pack; 400 names of 12 bytes fit a value of
	// 8 KiB (a pack is full earlier if they don't).
	PackJobs = 400
	// TidyEvery, TidyChanges, TidyQuiet and TidyAbove: packed jobs get records of
	// their own in steps of so many changes, when nothing was submitted for a
	// while, or when there are more of them than a controller should read at its
	// start.
	TidyEvery   = time.Second
	TidyChanges = 16
	TidyQuiet   = 5 * time.Second
	TidyAbove   = 4000
	// BackgroundUnclaim is the same for background work, which is in no hurry.
	BackgroundUnclaim = 30 * time.Second
	// MaxRange is the most tasks of one claimed range; its bitmap must fit the
	// smallest value the state service may be set to (1 KiB).
	MaxRange = 4000
	// LearnLeast is the least weight of a new run time in the mean by which the
	// owners' estimates are corrected: the last twenty count most.
	LearnLeast = 0.05
	// RatioLeast and RatioMost bound that correction: beyond them it is more
	// likely that a few odd tasks were seen.
	RatioLeast = 0.3
	RatioMost  = 3.0
	// TieWeight decides between places or zones that cost the same otherwise
	// (per CPU or machine): small against every real difference.
	TieWeight = 0.001
	// ScoreImage, ScoreKept, ScoreOrdinary and ScoreSafe order the machines that
	// an array may take; fullness counts up to 1. One with the image goes before a
	// fuller one, kept room before surplus, kept ordinary room before cheap, and
	// before all of that what urgent gangs do not allow.
	ScoreImage    = 2.0
	ScoreKept     = 4.0
	ScoreOrdinary = 4.0
	ScoreSafe     = 16.0
	// NoPlace and AfterPreemption are ranks among controllers for a gang that are
	// behind every count of free tasks: no room at all, room only by stopping.
	NoPlace         = 1 << 20
	AfterPreemption = 1 << 18
	// AttemptBits is how many attempts one tenure of a share can number.
	AttemptBits = 20
	// CollectAfter is how long a gang that no share can hold waits before idle
	// workers are moved together for it.
	CollectAfter = 3 * time.Second
	// MaxPreemptWait is how long a gang waits for room that is being cleared
	// before its plan is given up.
	MaxPreemptWait = 20 * time.Second
)

// Fleet.
const (
	// FleetEvery is how often demand is looked at.
	FleetEvery = time.Second
	// ListEvery is how often the machine list is read.
	ListEvery = 10 * time.Second
	// FlavorsEvery is how often types and prices are read.
	FlavorsEvery = 60 * time.Second
	// CloudTimeout ends a call to the cloud.
	CloudTimeout = 5 * time.Second
	// RentDelay is how long a task must wait unclaimed before machines are
	// rented for it: claims by other controllers take a moment.
	RentDelay = 700 * time.Millisecond
	// RentPatience is how long an array may find no room at all before a machine
	// is rented for it against all reckoning.
	RentPatience = 15 * time.Second
	// RentTries is how often a round of renting is planned anew when the cloud
	// has less than was asked for: types times kinds, of which there are few.
	RentTries = 5
	// CloudPart of the cloud's limit is used by one controller: only one rents,
	// the others return machines now and then, many at a time.
	CloudPart = 0.7
	// ReturnEvery is the least time between two requests to return machines.
	ReturnEvery = time.Second
	// NoCapacity is how long a refused type, zone and kind is not asked again.
	NoCapacity = 15 * time.Second
	// WorkHorizon is the time in which waiting array tasks should be worked off
	// if neither a deadline nor an aim of their class says more.
	WorkHorizon = 60 * time.Second
	// TargetPart is the part of a deadline that is planned for; the rest is for
	// wrong estimates, lost machines and image fetches.
	TargetPart = 0.7
	// LeastHorizon bounds how many machines a job that is late can ask for.
	LeastHorizon = 20 * time.Second
	// BootGiveUp is after how many times the usual boot time a machine that has not
	// come up is returned; BootPatience is the most, in times of startupS.
	BootGiveUp   = 4
	BootPatience = 8
	// BootChange is by which part a learned boot time must differ from the recorded
	// one to be recorded.
	BootChange = 0.2
	// GatherEvery parts two machines that are emptied because their long tasks
	// find room on fuller ones; GatherLeast is what such a task must still have
	// before it, and twice as long as it must have run since its last start.
	GatherEvery = time.Second
	GatherLeast = time.Minute
	// LeastCharge is what a machine that is returned costs at least, counted from
	// its rental; from the protocol.
	LeastCharge = time.Minute
	// IdleLeast and IdleMost bound how long a machine stays idle before it is
	// returned; between them it is what booting another one costs.
	IdleLeast = 10 * time.Second
	IdleMost  = 50 * time.Second
	// ArrivalWindow is how far back arrivals count for the growth buffers; a
	// class that has sent nothing for so long has no buffer.
	ArrivalWindow = 2 * time.Minute
	// MaxArrivals bounds how many arrivals of a class are remembered.
	MaxArrivals = 128
	// PauseLeast and PauseMost bound the pause (twice the mean gap) after which
	// a class counts as having stopped.
	PauseLeast = 15 * time.Second
	PauseMost  = 40 * time.Second
	// ForgetComing is added to the patience with a booting machine before it is
	// no longer expected.
	ForgetComing = time.Minute
	// MaxRentAtOnce is the protocol's bound on one request.
	MaxRentAtOnce = 50
	// MaxReleaseAtOnce is the same for returning machines.
	MaxReleaseAtOnce = 100
	// FleetGrant is the time to live of the renting right.
	FleetGrant = 6 * time.Second
)

// Actors.
const (
	// Mailbox is how many messages may wait for an actor before those that send more
	// wait themselves: a report of each of a thousand workers.
	Mailbox = 1024
)

// Pipeline files.
const (
	// PipelineBytes is the longest file: 500 jobs take some 100 kB.
	PipelineBytes = 256 << 10
	// PipelineJobs is how many jobs a file may have, copies counted: the record of their
	// states must fit a value of the state service, at a byte each and a few more for
	// those that are tried again.
	PipelineJobs = 1000
	// PipelineNodes bounds what aliases and extends unfold to, in parts of the file; a
	// job has some 40, and is copied twice.
	PipelineNodes = 400_000
	// PipelineDepth bounds how deep parts of a file may lie in each other.
	PipelineDepth = 64
	// PipelineRetries is how often a job may be tried again at most, whatever its class
	// allows.
	PipelineRetries = 10
	// PipelineLongest is the longest time that a file may name.
	PipelineLongest = 60 * 24 * time.Hour
)

// Runs of pipeline files.
const (
	// RunTick is how often the jobs of runs are looked at: half of what users wait for a
	// final state to be told.
	RunTick = 250 * time.Millisecond
	// RunRecordEvery is how often the progress of a run is recorded that the core could
	// tell as well, if RunRecordJobs have gone on: it spares the next leader questions, at
	// one change each.
	RunRecordEvery = 30 * time.Second
	RunRecordJobs  = 20
	// RunRefused is the pause after a write that was refused: the watch tells meanwhile
	// what has changed.
	RunRefused = 2 * WatchGap
	// RunCalls is how many submissions and withdrawals of runs are under way at once: users'
	// own must find room between them.
	RunCalls = 16
	// RunFinals is how many ended runs are remembered, the others are asked for.
	RunFinals = 200
	// RunProgressBytes is kept free in a run's record for the states of its jobs, tries
	// and times of some of them included.
	RunProgressBytes = 2048
	// RunNameBytes is the longest name of a run.
	RunNameBytes = 200
	// RunChangeTries is how often a cancellation is tried, at WatchGap, while the run's
	// record changes under it; 2 s, as long as users wait for an answer to a poll.
	RunChangeTries = 20
	// PlanBytes bounds a plan unpacked, some 500 bytes for each of PipelineJobs.
	PlanBytes = 4 << 20
)

// The command line, as a client.
const (
	// CommandGiveUp is how long a request is repeated: as long as the platform's users
	// repeat a submission.
	CommandGiveUp = 60 * time.Second
	// CommandPause is the longest pause that a controller may ask for between two tries.
	CommandPause = 30 * time.Second
	// WatchEvery is how often a command that waits asks how things stand.
	WatchEvery = time.Second
)

// Allocations of quotas.
const (
	// AllocationHungry is how long a part of an allocation is of no use in a share before it is
	// given back while the team has work that nobody has claimed: longer than a task that
	// ends and the next that starts in its place.
	AllocationHungry = 500 * time.Millisecond
	// AllocationKeep is the same while it has none: the next work may come anywhere.
	AllocationKeep = 10 * time.Second
	// AllocationFresh is how long a share counts as lacking what it lacked in a round of
	// decisions: rounds are that close while anything happens.
	AllocationFresh = time.Second
)
