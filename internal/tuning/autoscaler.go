package tuning

import "time"

// Requests to the cloud.
const (
	// MachineListInterval is how often the list of machines is read.
	MachineListInterval = 10 * time.Second
	// MinMachineListGap is the least time between two readings of that list for the sake of
	// workers without heartbeats.
	MinMachineListGap = 3 * time.Second
	// MaxListLagFactor is how many times its stated lag the list may be behind where a rule
	// rests on it: the protocol says twice, operators saw it lag far more than usual.
	MaxListLagFactor = 4
	// ListAbsenceMargin is added to that before a machine that is not listed counts as removed:
	// clocks of controllers differ a little.
	ListAbsenceMargin = 5 * time.Second
	// MachineTypeListInterval is how often machine types and prices are read.
	MachineTypeListInterval = 60 * time.Second
	// CloudRequestTimeout ends a request to the cloud.
	CloudRequestTimeout = 5 * time.Second
	// CloudBudgetFraction of the cloud's rate limit is used by one controller: only one scales
	// out, the others scale in now and then, many machines at a time.
	CloudBudgetFraction = 0.7
	// CapacityRefusalBackoff is how long a refused machine type, zone and kind is not requested
	// again.
	CapacityRefusalBackoff = 15 * time.Second
	// MaxScaleOutPerRequest is the protocol's bound on the machines of one request.
	MaxScaleOutPerRequest = 50
	// MaxScaleInPerRequest is the same for the machines returned.
	MaxScaleInPerRequest = 100
	// AutoscalerLeaseTTL is the time to live of the autoscaler's lease.
	AutoscalerLeaseTTL = 6 * time.Second
)

// Scaling out.
const (
	// DemandCheckInterval is how often demand is evaluated.
	DemandCheckInterval = time.Second
	// ScaleOutDelay is how long a task must be unclaimed before machines are requested for it:
	// claims by other controllers take a moment.
	ScaleOutDelay = 700 * time.Millisecond
	// NoRoomScaleOutDelay is how long an array may find no room at all before a machine is
	// requested for it whatever the computed demand.
	NoRoomScaleOutDelay = 15 * time.Second
	// ScaleOutPlanAttempts is how many times one scale-out is planned when the cloud refuses a
	// part of it: each attempt avoids the machine types, zones and kinds refused before.
	ScaleOutPlanAttempts = 5
	// WorkHorizon is the time in which waiting array tasks should be finished if neither a
	// deadline nor an objective of their class says more.
	WorkHorizon = 60 * time.Second
	// MinWorkHorizon bounds how many machines a job that is late can request.
	MinWorkHorizon = 20 * time.Second
	// DeadlineTargetFraction is the fraction of a deadline that is planned for. The rest is for
	// wrong estimates, lost machines and image fetches.
	DeadlineTargetFraction = 0.7
	// BootTimeoutFactor times the usual boot time is how long a machine may take to start before
	// it is scaled in.
	BootTimeoutFactor = 4
	// MaxBootTimeoutFactor bounds that, in multiples of the type's stated startupS.
	MaxBootTimeoutFactor = 8
	// BootTimeChangeFraction is by which fraction a learned boot time must differ from the
	// recorded one to be recorded.
	BootTimeChangeFraction = 0.2
	// PendingMachineGracePeriod is added to the boot timeout of a machine before it is no
	// longer expected.
	PendingMachineGracePeriod = time.Minute
)

// Buffers of idle machines.
const (
	// MachineFailureWindow is how far back lost machines count for the healing buffer.
	MachineFailureWindow = 10 * time.Minute
	// MaxRecordedMachineFailures bounds how many of them are remembered (entries).
	MaxRecordedMachineFailures = 256
	// ArrivalWindow is how far back arrivals count for the growth buffers. A class without
	// arrivals in this window has no buffer.
	ArrivalWindow = 2 * time.Minute
	// MaxRecordedArrivals bounds how many arrivals of a class are remembered (entries).
	MaxRecordedArrivals = 128
	// MinClassPause and MaxClassPause bound the pause (twice the mean gap) after which a class
	// counts as having stopped.
	MinClassPause = 15 * time.Second
	// MaxClassPause: see MinClassPause.
	MaxClassPause = 40 * time.Second
)

// Scaling in.
const (
	// MachineCheckTicks is in how many ticks all local machines are checked: four are a second.
	MachineCheckTicks = 4
	// MinMachineChecksPerTick is how many are checked in each tick at least.
	MinMachineChecksPerTick = 64
	// MaintenanceInterval is how often idle and surplus machines are looked for, and machines
	// are moved to other shards: it walks all local machines, and nothing that it decides
	// changes sooner.
	MaintenanceInterval = time.Second
	// MinScaleInRequestGap is the least time between two requests to return machines.
	MinScaleInRequestGap = time.Second
	// ConsolidationInterval is the time between two machines that are drained because their
	// long tasks find room on fuller ones.
	ConsolidationInterval = time.Second
	// MinConsolidationRunTime is what such a task must still have to run; it must have run for
	// twice as long since its last start.
	MinConsolidationRunTime = time.Minute
	// MinChargedPeriod is what a machine that is returned is charged at least, counted from its
	// request; given by the protocol.
	MinChargedPeriod = time.Minute
	// MinIdlePeriod and MaxIdlePeriod bound how long a machine stays idle before it is
	// returned. Between them it is what booting another one costs.
	MinIdlePeriod = 10 * time.Second
	// MaxIdlePeriod: see MinIdlePeriod.
	MaxIdlePeriod = 50 * time.Second
)
