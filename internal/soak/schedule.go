package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	Kill          FaultKind = "kill"           // a controller is killed and restarted, in half of the cases within a fraction of a second
	KillAll       FaultKind = "kill-all"       // all controllers are killed and restarted
	KillSeries    FaultKind = "kill-series"    // several times in a row, the controller that then has the most workers is killed and restarted
	Leave         FaultKind = "leave"          // a controller is shut down by SIGTERM, and restarted
	Pause         FaultKind = "pause"          // a controller's process is suspended by SIGSTOP and resumed by SIGCONT
	StoreCut      FaultKind = "store-cut"      // a controller's requests to the store are dropped
	StoreHold     FaultKind = "store-hold"     // a controller's requests to the store are held until the fault ends
	StoreRefuse   FaultKind = "store-refuse"   // the store is unavailable for one controller
	StoreOutage   FaultKind = "store-outage"   // the store is unavailable for all controllers
	StoreSlow     FaultKind = "store-slow"     // a controller's requests to the store are delayed
	LateWrites    FaultKind = "late-writes"    // some writes to the store get no answer and are applied later
	LostAnswers   FaultKind = "lost-answers"   // some of a controller's requests to the store, or their answers, are lost or late
	Reread        FaultKind = "reread"         // a controller has to read all records again
	PeersCut      FaultKind = "peers-cut"      // a controller and its peers cannot reach each other
	PeersHold     FaultKind = "peers-hold"     // messages between a controller and its peers are held until the fault ends
	NodeCut       FaultKind = "node-cut"       // a controller loses the store and its peers, but not its workers
	WorkersCut    FaultKind = "workers-cut"    // a controller receives no heartbeats
	HeartbeatLoss FaultKind = "heartbeat-loss" // some heartbeats to a controller or their answers are lost or late
	NoInbound     FaultKind = "no-inbound"     // machines receive nothing, but their heartbeats arrive
	NoOutbound    FaultKind = "no-outbound"    // machines reach no controller, but commands reach them
	Hang          FaultKind = "hang"           // machines freeze until the fault ends
	Isolate       FaultKind = "isolate"        // machines and controllers cannot reach each other in either direction
	SlowAnswers   FaultKind = "slow-answers"   // answers and commands to machines arrive seconds late
	LateReports   FaultKind = "late-reports"   // copies of heartbeats arrive late, at random controllers
	CancelMany    FaultKind = "cancel-many"    // users cancel many running jobs at once
)

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{
	Kill, KillAll, KillSeries, Leave, Pause, StoreCut, StoreHold, StoreRefuse, StoreOutage, StoreSlow, LateWrites,
	LostAnswers, Reread, PeersCut, PeersHold, NodeCut, WorkersCut, HeartbeatLoss, NoInbound, NoOutbound, Hang, Isolate,
	SlowAnswers, LateReports, CancelMany,
}

// Fault is one fault of a schedule.
type Fault struct {
	At       time.Duration // start of the fault, counted from the start of the schedule
	Kind     FaultKind
	Node     string        // the affected controller; used by some kinds only
	Share    float64       // share of the machines, jobs or messages that are affected, from 0 to 1; used by some kinds only
	Duration time.Duration // how long the fault lasts; for a killed controller, the time until its restart
}

// String formats the fault as one line of a schedule.
func (f Fault) String() string {
	return fmt.Sprintf("%7.2f s  %-14s %-3s share %.2f for %.2f s", f.At.Seconds(), f.Kind, f.Node, f.Share, f.Duration.Seconds())
}

// Ranges of the random values of a schedule.
const (
	meanGroupGap           = 5 * time.Second // mean time between the starts of two groups of overlapping faults
	maxGroupSize           = 3
	groupSpread            = 1500 * time.Millisecond // range of the start times in a group; also the maximum gap between scenario steps
	minFaultDuration       = 200 * time.Millisecond
	faultDurationRange     = 7 * time.Second        // upper bound of the random time added to minFaultDuration
	longFaultDurationRange = 16 * time.Second       // upper bound of that random time for a long fault; longer than a lease
	longFaultOdds          = 6                      // on average, one in this many faults has the longer range of durations
	maxQuickDowntime       = 300 * time.Millisecond // upper bound of a killed controller's downtime in a quick restart
)

// The kinds of faults from which the steps of a cancellation scenario are chosen.
var (
	workerFaults      = []FaultKind{NoInbound, NoOutbound, Hang, SlowAnswers, HeartbeatLoss}
	ownerChangeFaults = []FaultKind{Leave, Kill, KillSeries}
)

// randomSchedule returns random groups of overlapping faults, sorted by start time. If CancelMany is allowed,
// half of the groups, on average, are cancellation scenarios: users cancel jobs while some machines may not
// receive the stop commands, and a shard changes its owner. The other groups have one to three faults of any
// allowed kind. The schedule depends only on the parameters and the state of rnd.
func randomSchedule(rnd *rand.Rand, duration time.Duration, nodes []string, kinds []FaultKind) []Fault {
	if len(kinds) == 0 {
		kinds = FaultKinds
	}
	var schedule []Fault
	at := time.Second
	for at < duration {
		isCancelScenario := rnd.IntN(2) == 0 && slices.Contains(kinds, CancelMany)
		if isCancelScenario {
			schedule = append(schedule, randomCancelScenario(rnd, at, nodes, kinds)...)
		} else {
			for range 1 + rnd.IntN(maxGroupSize) {
				schedule = append(schedule, randomFault(rnd, at+randomDuration(rnd, groupSpread), nodes, kinds))
			}
		}
		at += meanGroupGap/2 + randomDuration(rnd, meanGroupGap)
	}
	slices.SortStableFunc(schedule, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return schedule
}

// randomCancelScenario returns a fault of workers, then cancellations, then a change of a shard's owner. It
// skips steps for which no kind is allowed.
func randomCancelScenario(rnd *rand.Rand, at time.Duration, nodes []string, kinds []FaultKind) []Fault {
	var scenario []Fault
	for _, candidates := range [][]FaultKind{workerFaults, {CancelMany}, ownerChangeFaults} {
		allowedKinds := slices.DeleteFunc(slices.Clone(candidates), func(kind FaultKind) bool { return !slices.Contains(kinds, kind) })
		if len(allowedKinds) == 0 {
			continue
		}
		fault := randomFault(rnd, at, nodes, allowedKinds)
		if fault.Kind == CancelMany {
			fault.Share *= 2
		}
		scenario = append(scenario, fault)
		at += randomDuration(rnd, groupSpread)
	}
	return scenario
}

// randomFault returns a random fault of one of the kinds, which starts at the given time.
func randomFault(rnd *rand.Rand, at time.Duration, nodes []string, kinds []FaultKind) Fault {
	fault := Fault{
		At:       at,
		Kind:     kinds[rnd.IntN(len(kinds))],
		Node:     nodes[rnd.IntN(len(nodes))],
		Share:    0.1 + 0.3*rnd.Float64(),
		Duration: minFaultDuration + randomDuration(rnd, faultDurationRange),
	}
	if rnd.IntN(longFaultOdds) == 0 {
		fault.Duration += randomDuration(rnd, longFaultDurationRange-faultDurationRange)
	}
	isRestart := fault.Kind == Kill || fault.Kind == KillAll || fault.Kind == KillSeries
	if isRestart && rnd.IntN(2) == 0 {
		fault.Duration = randomDuration(rnd, maxQuickDowntime) // the controller is back within a fraction of a second
	}
	return fault
}

// randomDuration returns a random duration from 0 up to, but not including, limit.
func randomDuration(rnd *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(limit)))
}
