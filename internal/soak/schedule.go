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
	Kill          FaultKind = "kill"           // a controller is killed and restarted, perhaps at once
	KillAll       FaultKind = "kill-all"       // all controllers are
	KillSeries    FaultKind = "kill-series"    // one owner after the other is
	Leave         FaultKind = "leave"          // a controller is shut down in order, and restarted
	Pause         FaultKind = "pause"          // a controller's process stands still
	StoreCut      FaultKind = "store-cut"      // requests of a controller to the store get no answer
	StoreHold     FaultKind = "store-hold"     // they are held and delivered when the fault ends
	StoreRefuse   FaultKind = "store-refuse"   // the store refuses a controller alone
	StoreOutage   FaultKind = "store-outage"   // the store refuses all controllers
	StoreSlow     FaultKind = "store-slow"     // requests to the store are slow
	LateWrites    FaultKind = "late-writes"    // some writes get no answer and are applied later
	LostAnswers   FaultKind = "lost-answers"   // some writes are applied, and their answers are lost
	Reread        FaultKind = "reread"         // a controller has to read all records anew
	PeersCut      FaultKind = "peers-cut"      // a controller and its peers do not reach each other
	PeersHold     FaultKind = "peers-hold"     // what they send is held and delivered when the fault ends
	NodeCut       FaultKind = "node-cut"       // a controller loses the store and its peers, not its workers
	WorkersCut    FaultKind = "workers-cut"    // a controller gets no heartbeats
	HeartbeatLoss FaultKind = "heartbeat-loss" // some heartbeats or their answers are lost or late
	NoInbound     FaultKind = "no-inbound"     // machines receive nothing; their heartbeats arrive
	NoOutbound    FaultKind = "no-outbound"    // machines reach no controller; commands reach them
	Hang          FaultKind = "hang"           // machines hang and continue
	Isolate       FaultKind = "isolate"        // machines are cut off altogether
	SlowAnswers   FaultKind = "slow-answers"   // answers and commands to machines arrive seconds late
	LateReports   FaultKind = "late-reports"   // copies of heartbeats arrive later, at any controller
	CancelMany    FaultKind = "cancel-many"    // users cancel many running jobs at once
)

// FaultKinds are all kinds.
var FaultKinds = []FaultKind{
	Kill, KillAll, KillSeries, Leave, Pause, StoreCut, StoreHold, StoreRefuse, StoreOutage, StoreSlow, LateWrites,
	LostAnswers, Reread, PeersCut, PeersHold, NodeCut, WorkersCut, HeartbeatLoss, NoInbound, NoOutbound, Hang, Isolate,
	SlowAnswers, LateReports, CancelMany,
}

// Fault is one fault of a schedule.
type Fault struct {
	At     time.Duration // since the beginning
	Kind   FaultKind
	Node   string        // of the controller, if it concerns one
	Share  float64       // of the machines, jobs or messages, if it concerns some
	Length time.Duration // how long it lasts, or until the restart
}

// String returns the fault as one line of a schedule.
func (f Fault) String() string {
	return fmt.Sprintf("%7.2f s  %-14s %-3s share %.2f for %.2f s", f.At.Seconds(), f.Kind, f.Node, f.Share, f.Length.Seconds())
}

// Ranges of what is drawn.
const (
	meanGroupGap = 5 * time.Second // between groups of faults that overlap
	maxGroup     = 3
	groupSpread  = 1500 * time.Millisecond // between the first and the last fault of a group
	minLength    = 200 * time.Millisecond
	maxLength    = 7 * time.Second
	maxLongFault = 16 * time.Second // longer than a lease
	longFaults   = 6                // one in so many faults may be that long
	quickRestart = 300 * time.Millisecond
)

// The kinds of faults that a meeting is drawn from.
var (
	workerFaults = []FaultKind{NoInbound, NoOutbound, Hang, SlowAnswers, HeartbeatLoss}
	ownerChanges = []FaultKind{Leave, Kill, KillSeries}
)

// drawSchedule draws groups of one to three faults that overlap. Half of them are meetings in which jobs
// are cancelled whose machines do not hear it, while the owner of their shard changes.
func drawSchedule(rnd *rand.Rand, duration time.Duration, nodes []string, kinds []FaultKind) []Fault {
	if len(kinds) == 0 {
		kinds = FaultKinds
	}
	var schedule []Fault
	at := time.Second
	for at < duration {
		isMeeting := rnd.IntN(2) == 0 && slices.Contains(kinds, CancelMany)
		if isMeeting {
			schedule = append(schedule, drawMeeting(rnd, at, nodes, kinds)...)
		} else {
			for range 1 + rnd.IntN(maxGroup) {
				schedule = append(schedule, drawFault(rnd, at+randomDuration(rnd, groupSpread), nodes, kinds))
			}
		}
		at += meanGroupGap/2 + randomDuration(rnd, meanGroupGap)
	}
	slices.SortStableFunc(schedule, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return schedule
}

// drawMeeting draws a fault of workers, then cancellations, then a change of owners, as far as the kinds may
// be injected.
func drawMeeting(rnd *rand.Rand, at time.Duration, nodes []string, kinds []FaultKind) []Fault {
	var meeting []Fault
	for _, among := range [][]FaultKind{workerFaults, {CancelMany}, ownerChanges} {
		possible := slices.DeleteFunc(slices.Clone(among), func(kind FaultKind) bool { return !slices.Contains(kinds, kind) })
		if len(possible) == 0 {
			continue
		}
		fault := drawFault(rnd, at, nodes, possible)
		if fault.Kind == CancelMany {
			fault.Share *= 2
		}
		meeting = append(meeting, fault)
		at += randomDuration(rnd, groupSpread)
	}
	return meeting
}

func drawFault(rnd *rand.Rand, at time.Duration, nodes []string, kinds []FaultKind) Fault {
	fault := Fault{
		At:     at,
		Kind:   kinds[rnd.IntN(len(kinds))],
		Node:   nodes[rnd.IntN(len(nodes))],
		Share:  0.1 + 0.3*rnd.Float64(),
		Length: minLength + randomDuration(rnd, maxLength),
	}
	if rnd.IntN(longFaults) == 0 {
		fault.Length += randomDuration(rnd, maxLongFault-maxLength)
	}
	isRestart := fault.Kind == Kill || fault.Kind == KillAll || fault.Kind == KillSeries
	if isRestart && rnd.IntN(2) == 0 {
		fault.Length = randomDuration(rnd, quickRestart) // back within a fraction of a second
	}
	return fault
}

func randomDuration(rnd *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(limit)))
}
