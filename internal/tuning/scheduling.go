package tuning

import "time"

// Scheduling cycles.
const (
	// MinCycleInterval is the least time between two scheduling cycles, so that a burst of
	// events shares one.
	MinCycleInterval = 40 * time.Millisecond
	// MinHeartbeatCycleInterval is the least time before a cycle that a heartbeat requests: its
	// answer should carry what uses the room that it frees.
	MinHeartbeatCycleInterval = 25 * time.Millisecond
	// ClaimStaggerDelay delays the claim of a job accepted by another controller, so that the
	// one that accepted it goes first and conflicts are rare.
	ClaimStaggerDelay = 120 * time.Millisecond
	// SurplusPlacementDelay is how long an array waits before it takes a machine that is to be
	// drained: about a heartbeat interval, in which spot room shows in some shard.
	SurplusPlacementDelay = 1500 * time.Millisecond
)

// Order of jobs.
const (
	// JobOverdueAfter is how long a job may wait without any task started until it goes before
	// all others, for one task or as a gang. Users count a day as failed if a largest job
	// starts after four minutes; a gang's room needs one run of another gang to become free, a
	// minute or so.
	JobOverdueAfter = 150 * time.Second
	// GangReservationPeriod is how long room is reserved for an overdue gang at a time: two or
	// three runs of gangs of usual length.
	GangReservationPeriod = 2 * time.Minute
	// DeadlineAtRiskMargin is how long before its latest start for an objective a gang goes
	// before those that have more time: a few times in which room for it becomes free.
	DeadlineAtRiskMargin = 20 * time.Second
	// AgingPeriod is how long after it could first have run an array without a deadline or
	// objective that it can still meet counts as having to start, so that it does not starve. A
	// gang that has waited for longer goes before all others of its priority.
	AgingPeriod = 5 * time.Minute
)

// Estimates of run times.
const (
	// RunTimeSpread is by which fraction of the usual run time the slowest of many tasks runs
	// longer.
	RunTimeSpread = 0.5
	// JobOverheadSeconds is how long a job takes besides its run time (s): claim, start
	// command, an image of a gigabyte or two, the last heartbeat and the record of the end.
	JobOverheadSeconds = 6.0
	// MinRunTimeSampleWeight is the least weight of a new run time in the mean by which the
	// users' estimates are corrected: the last twenty count most.
	MinRunTimeSampleWeight = 0.05
	// MinEstimateRatio and MaxEstimateRatio bound that correction: beyond them it is more
	// likely that a few unusual tasks were seen.
	MinEstimateRatio = 0.3
	// MaxEstimateRatio: see MinEstimateRatio.
	MaxEstimateRatio = 3.0
)

// Placement of tasks on machines.
const (
	// TieBreakWeight decides between machine types or zones that cost the same otherwise (per
	// CPU or machine): small against every real difference.
	TieBreakWeight = 0.001
	// ScoreCachedImage is added for a machine with the task's image, so that it goes before a
	// fuller one: fullness counts up to 1.
	ScoreCachedImage = 2.0
	// ScoreRetained is added for a machine that is not surplus.
	ScoreRetained = 4.0
	// ScoreOnDemand is added for a retained machine that is not spot.
	ScoreOnDemand = 4.0
	// ScoreGangSafe is added for room that urgent gangs do not need: it counts for more than
	// all the others together.
	ScoreGangSafe = 16.0
	// RankNoRoom is a controller's rank for a gang for which it has no room at all, behind
	// every count of free tasks.
	RankNoRoom = 1 << 20
	// RankAfterPreemption is the rank for a gang for which it has room only by preemption, also
	// behind every count of free tasks.
	RankAfterPreemption = 1 << 18
	// GangConsolidationDelay is how long a gang that fits no shard waits before idle workers
	// are moved into one shard for it.
	GangConsolidationDelay = 3 * time.Second
	// MaxPreemptionWait is how long a gang waits for room that is being cleared before its plan
	// is given up.
	MaxPreemptionWait = 20 * time.Second
)

// Background work.
const (
	// BackgroundSpotOnlyPeriod is how long only spot machines are scaled out for background
	// work.
	BackgroundSpotOnlyPeriod = 150 * time.Second
	// BackgroundHorizon is the time in which background work should be finished after that.
	BackgroundHorizon = 150 * time.Second
	// BackgroundUnclaimAfter replaces UnclaimAfter for background work, which is in no hurry.
	BackgroundUnclaimAfter = 30 * time.Second
)
