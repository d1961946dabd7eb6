package tuning

import "time"

// Scheduling cycles.
const (
	// MinCycleInterval is the minimum time between two scheduling cycles, so that a burst of
	// events causes only one.
	MinCycleInterval = 40 * time.Millisecond
	// MinHeartbeatCycleInterval is the minimum time between the last cycle and a cycle that a
	// heartbeat requests. The answer to the heartbeat should already carry starts for the
	// capacity that the heartbeat reports as free.
	MinHeartbeatCycleInterval = 25 * time.Millisecond
	// ClaimStaggerDelay delays the claim of a job accepted by another controller, so that the
	// accepting controller claims first and conflicts are rare.
	ClaimStaggerDelay = 120 * time.Millisecond
	// SurplusPlacementDelay is how long an array waits before it uses a machine that is to be
	// drained: about a heartbeat interval, in which spot capacity may become known in some
	// shard.
	SurplusPlacementDelay = 1500 * time.Millisecond
)

// Order of jobs.
const (
	// JobOverdueAfter is how long a job may wait before it is overdue if none of its tasks is
	// claimed. An overdue job takes precedence over all others. For an array, this applies only to
	// the first task; for a gang, it applies to all tasks. Users count a day as failed if one of the
	// largest jobs starts after four minutes. The capacity for a gang becomes free when another gang
	// has ended, which takes about a minute.
	JobOverdueAfter = 150 * time.Second
	// GangReservationPeriod is how long capacity is reserved for an overdue gang at a time:
	// two or three runs of gangs of usual length.
	GangReservationPeriod = 2 * time.Minute
	// DeadlineAtRiskMargin: an objective counts as at risk when less than this time is left until
	// the latest start that meets it. A gang whose objective is at risk takes precedence over gangs
	// that have more time. The margin is a few times as long as it takes until capacity for a gang
	// becomes free.
	DeadlineAtRiskMargin = 20 * time.Second
	// AgingPeriod prevents starvation. An array that has no deadline or objective that it can still
	// meet is queued as if it had to start AgingPeriod after it became runnable. A gang that has
	// waited for longer than AgingPeriod takes precedence over all other gangs of its priority.
	AgingPeriod = 5 * time.Minute
)

// Estimates of run times.
const (
	// RunTimeSpread is the fraction of the usual run time by which the slowest of many tasks runs
	// longer than usual.
	RunTimeSpread = 0.5
	// JobOverheadSeconds is how long a job takes besides its run time: the claim, the start
	// command, the fetch of an image of one or two gigabytes, the last heartbeat and the record of
	// the end.
	JobOverheadSeconds = 6.0
	// MinRunTimeSampleWeight is the minimum weight of a new run time in the mean that corrects the
	// users' estimates, so that the last twenty run times count most.
	MinRunTimeSampleWeight = 0.05
	// MinEstimateRatio is the smallest factor by which users' estimates are corrected. A factor
	// below MinEstimateRatio or above MaxEstimateRatio more likely comes from a few unusual tasks.
	MinEstimateRatio = 0.3
	// MaxEstimateRatio is the largest factor by which users' estimates are corrected.
	MaxEstimateRatio = 3.0
)

// Placement of tasks on machines.
const (
	// TieBreakWeight is the cost that is added for each CPU or machine to decide between machines,
	// machine types or zones of otherwise equal cost. It is small compared with every real
	// difference.
	TieBreakWeight = 0.001
	// ScoreCachedImage is added to the score of a machine that has the task's image, so that
	// it is preferred to a fuller machine: fullness adds up to 1.
	ScoreCachedImage = 2.0
	// ScoreRetained is added to the score of a machine that is not surplus.
	ScoreRetained = 4.0
	// ScoreOnDemand is added to the score of a retained machine that is not spot.
	ScoreOnDemand = 4.0
	// ScoreGangSafe is added to the score of a machine that urgent gangs cannot use. It counts for
	// more than all the other scores together.
	ScoreGangSafe = 16.0
	// ScoreFailedBefore is subtracted from the score of a machine on which the job has failed. It
	// counts for more than all the other scores together.
	ScoreFailedBefore = 32.0
	// FailedBeforeCost is the cost, in CPU seconds, of placing a task of a gang on a machine on which
	// the gang has failed. It counts for more than fetching an image, and for less than preempting
	// work of minutes on many CPUs.
	FailedBeforeCost = 1000.0
	// GangCostNoCapacity is the cost of placing a gang at a controller that has no capacity for it.
	// It is above every number of fitting tasks, which is the cost at a controller where the gang
	// fits.
	GangCostNoCapacity = 1 << 20
	// GangCostAfterPreemption is the base cost of placing a gang at a controller that has capacity
	// for it only after preemption. It is also above every number of fitting tasks.
	GangCostAfterPreemption = 1 << 18
	// GangConsolidationDelay is how long a gang that fits no shard waits before idle workers
	// are moved into one shard for it.
	GangConsolidationDelay = 3 * time.Second
	// MaxPreemptionWait is how long a gang waits for capacity that is being freed by
	// preemption before its plan is given up.
	MaxPreemptionWait = 20 * time.Second
)

// Background work.
const (
	// BackgroundSpotOnlyPeriod is the time after a background job became runnable in which only
	// spot machines are scaled out for it.
	BackgroundSpotOnlyPeriod = 150 * time.Second
	// BackgroundHorizon is the time within which background work should be finished after
	// BackgroundSpotOnlyPeriod.
	BackgroundHorizon = 150 * time.Second
	// BackgroundUnclaimAfter replaces UnclaimAfter for background work, which is not urgent.
	BackgroundUnclaimAfter = 30 * time.Second
)
