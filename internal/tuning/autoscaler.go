package tuning

import "time"

// Requests to the cloud.
const (
	// MachineListInterval is how often the cloud's list of machines is read.
	MachineListInterval = 10 * time.Second
	// MinMachineListGap is the minimum time between two extra reads of the cloud's list of
	// machines. Extra reads are made when workers send no heartbeats.
	MinMachineListGap = 3 * time.Second
	// MaxListLagFactor times the lag in the settings is the assumed maximum lag of the machine
	// list. A machine is treated as terminated only if it is missing from the list although it
	// would be listed even with this lag. The protocol gives a factor of two, but operators saw the
	// list lag far more than usual.
	MaxListLagFactor = 4
	// ListAbsenceMargin is added to the assumed lag of the machine list, because the clocks of
	// controllers differ slightly. A machine that is not listed counts as removed only if it
	// was requested or registered longer ago than the assumed lag plus this margin.
	ListAbsenceMargin = 5 * time.Second
	// MachineTypeListInterval is how often machine types and prices are read.
	MachineTypeListInterval = 60 * time.Second
	// CloudRequestTimeout is the maximum duration of a request to the cloud.
	CloudRequestTimeout = 5 * time.Second
	// CloudBudgetFraction is the fraction of the cloud's rate limit that one controller uses.
	// Only one controller scales out; the others scale in occasionally, many machines per
	// request.
	CloudBudgetFraction = 0.7
	// CapacityRefusalBackoff is how long a combination of machine type, zone and kind (spot or
	// on-demand) is not requested again after the cloud refused it.
	CapacityRefusalBackoff = 15 * time.Second
	// MaxScaleOutPerRequest is the maximum number of machines in one scale-out request, given
	// by the protocol.
	MaxScaleOutPerRequest = 50
	// MaxScaleInPerRequest is the maximum number of machines that one request returns to the cloud,
	// given by the protocol.
	MaxScaleInPerRequest = 100
	// AutoscalerLeaseTTL is the time to live of the autoscaler's lease.
	AutoscalerLeaseTTL = 6 * time.Second
)

// Scaling out.
const (
	// DemandCheckInterval is how often demand is evaluated.
	DemandCheckInterval = time.Second
	// ScaleOutDelay is how long a task must be unclaimed before machines are requested for it.
	// In the meantime another controller may claim it.
	ScaleOutDelay = 700 * time.Millisecond
	// NoCapacityScaleOutDelay is how long an array may find no free capacity before a machine is
	// requested for it even if the computed demand is 0.
	NoCapacityScaleOutDelay = 15 * time.Second
	// ScaleOutPlanAttempts is how many times one scale-out is planned when the cloud refuses a
	// part of it. Each attempt avoids the combinations of machine type, zone and kind that
	// were refused before.
	ScaleOutPlanAttempts = 5
	// WorkHorizon is the time within which waiting array tasks should be finished if neither a
	// deadline nor an objective of their class sets one.
	WorkHorizon = 60 * time.Second
	// MinWorkHorizon is the minimum horizon for which machines are planned. It bounds how many
	// machines are requested for a late job.
	MinWorkHorizon = 20 * time.Second
	// DeadlineTargetFraction is the fraction of a job's deadline within which the planned machines
	// should finish the job. The rest of the deadline allows for wrong estimates, lost machines and
	// image fetches.
	DeadlineTargetFraction = 0.7
	// BootTimeoutFactor times the usual boot time is how long a machine may take to start before
	// it is scaled in.
	BootTimeoutFactor = 4
	// MaxBootTimeoutFactor times the startupS that the cloud states for the machine type is the
	// maximum time that a machine may take to start.
	MaxBootTimeoutFactor = 8
	// BootTimeChangeFraction is the fraction by which a learned boot time must differ from the
	// recorded one before it is recorded again.
	BootTimeChangeFraction = 0.2
	// PendingMachineGracePeriod is added to a machine's boot timeout. A requested machine that has
	// not registered by then is no longer expected.
	PendingMachineGracePeriod = time.Minute
)

// Buffers of idle machines.
const (
	// MachineFailureWindow is how far back lost machines count for the healing buffer, which
	// replaces machines that are likely to fail.
	MachineFailureWindow = 10 * time.Minute
	// MaxRecordedMachineFailures bounds how many lost machines are remembered.
	MaxRecordedMachineFailures = 256
	// ArrivalWindow is how far back arrivals count for the growth buffers. A class without
	// arrivals in this window has no buffer.
	ArrivalWindow = 2 * time.Minute
	// MaxRecordedArrivals bounds how many arrivals of a class are remembered.
	MaxRecordedArrivals = 128
	// MinClassInactivityTimeout is the minimum time without arrivals after which no more jobs of a
	// class are expected. The timeout is twice the mean gap between arrivals, but at least this
	// time and at most MaxClassInactivityTimeout.
	MinClassInactivityTimeout = 15 * time.Second
	// MaxClassInactivityTimeout is the maximum time without arrivals after which no more jobs of a
	// class are expected.
	MaxClassInactivityTimeout = 40 * time.Second
)

// Scaling in.
const (
	// MachineCheckTicks is the number of ticks within which all local machines are checked
	// once. Four ticks take a second.
	MachineCheckTicks = 4
	// MinMachineChecksPerTick is the minimum number of machines checked in each tick.
	MinMachineChecksPerTick = 64
	// MaintenanceInterval is how often a controller looks for idle and surplus machines and moves
	// machines to other shards. Each pass visits all local machines, and the decisions do not
	// change within a shorter time.
	MaintenanceInterval = time.Second
	// MinScaleInRequestGap is the minimum time between two requests to return machines.
	MinScaleInRequestGap = time.Second
	// ConsolidationInterval is the minimum time between two drains for consolidation. Such a drain
	// empties a machine whose long tasks fit on fuller machines.
	ConsolidationInterval = time.Second
	// MinConsolidationRunTime is the minimum remaining run time of the tasks on a machine that is
	// drained for consolidation. Each of these tasks must also have run for half of this time since
	// its last start.
	MinConsolidationRunTime = time.Minute
	// MinChargedPeriod is the minimum period for which the cloud charges a machine, counted
	// from its request; given by the protocol.
	MinChargedPeriod = time.Minute
	// MinIdlePeriod is the minimum time for which a machine stays idle before it is returned.
	// Between MinIdlePeriod and MaxIdlePeriod, the time depends on what it costs to boot another
	// machine.
	MinIdlePeriod = 10 * time.Second
	// MaxIdlePeriod is the maximum time for which a machine stays idle before it is returned.
	MaxIdlePeriod = 50 * time.Second
)
