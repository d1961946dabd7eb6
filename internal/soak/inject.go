package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/kvstore"
)

// injector injects the faults of a schedule. Each fault ends after its Duration, so that no fault is active when
// run has returned.
type injector struct {
	ctx           context.Context
	checker       *checker
	cluster       *fake.Cluster
	links         *links
	processes     *processes
	users         *users
	runningFaults sync.WaitGroup
}

// Parameters of the faults.
const (
	seriesKillCount    = 4                       // kills of a KillSeries
	seriesGap          = 1500 * time.Millisecond // from each restart of a KillSeries until the next kill
	maxStoreDelay      = 1200 * time.Millisecond // of StoreSlow
	inboundDelay       = 3300 * time.Millisecond // of SlowAnswers
	maxDuplicateJitter = 12 * time.Second        // of LateReports; upper bound of the random part of the delay
)

// run injects the faults of a schedule and returns when the last one has ended. If two faults of the same kind
// overlap at the same target, the end of the first one ends both.
func (in *injector) run(schedule []Fault) {
	startedAt := in.checker.elapsed()
	for _, fault := range schedule {
		if kvstore.Sleep(in.ctx, startedAt+fault.At-in.checker.elapsed()) != nil {
			break
		}
		in.checker.recordEvent("fault: %s", fault)
		in.runningFaults.Go(func() {
			in.inject(fault)
			in.checker.recordEvent("over:  %s", fault)
		})
	}
	in.runningFaults.Wait()
}

// inject injects one fault and returns when the fault has ended.
func (in *injector) inject(fault Fault) {
	switch fault.Kind {
	case Kill, KillAll, KillSeries, Leave, Pause:
		in.injectProcess(fault)
	case StoreCut, StoreHold, StoreRefuse, StoreOutage, StoreSlow, LateWrites, LostAnswers, Reread:
		in.injectStore(fault)
	case PeersCut, PeersHold, NodeCut, WorkersCut, HeartbeatLoss:
		in.injectLinks(fault)
	case NoInbound, NoOutbound, Hang, Isolate, SlowAnswers, LateReports:
		in.injectWorkers(fault)
	case CancelMany:
		in.users.cancelMany(fault.Share)
	}
}

func (in *injector) injectProcess(fault Fault) {
	switch fault.Kind {
	case Kill:
		in.killAndRestart(fault.Duration, fault.Node)
	case KillAll:
		in.killAndRestart(fault.Duration, in.links.nodes...)
	case KillSeries:
		for range seriesKillCount {
			in.killAndRestart(min(fault.Duration, 2*seriesGap), in.busiestController())
			_ = kvstore.Sleep(in.ctx, seriesGap)
		}
	case Leave:
		in.processes.Signal(fault.Node, syscall.SIGTERM)
		in.waitForEnd(fault)
		in.killAndRestart(0, fault.Node)
	case Pause:
		in.processes.Signal(fault.Node, syscall.SIGSTOP)
		in.waitForEnd(fault)
		in.processes.Signal(fault.Node, syscall.SIGCONT)
	}
}

// busiestController returns the controller whose shards have the most workers in total.
func (in *injector) busiestController() string {
	workerCounts := map[string]int{}
	busiest := in.links.nodes[0]
	for _, shard := range in.links.nodes { // a shard has the name of its home controller
		owner := in.cluster.OwnerOf(shard)
		workerCounts[owner] += in.cluster.WorkersInShard(shard)
		if owner != "" && workerCounts[owner] > workerCounts[busiest] {
			busiest = owner
		}
	}
	return busiest
}

// killAndRestart kills controllers and starts them again after the downtime.
func (in *injector) killAndRestart(downtime time.Duration, nodes ...string) {
	for _, node := range nodes {
		in.processes.Kill(node)
	}
	_ = kvstore.Sleep(in.ctx, downtime)
	for _, node := range nodes {
		if err := in.processes.Start(node); err != nil {
			in.checker.recordViolation("start: %v", err)
		}
	}
}

func (in *injector) injectStore(fault Fault) {
	store, link := in.cluster.Store, in.links.store[fault.Node]
	switch fault.Kind {
	case StoreCut:
		in.applyTemporarily(fault, link.SetCut)
	case StoreHold:
		in.applyTemporarily(fault, link.SetHeld)
	case StoreRefuse:
		in.applyTemporarily(fault, func(on bool) { store.RefuseNode(fault.Node, on) })
	case StoreOutage:
		in.applyTemporarily(fault, store.SetOutage)
	case StoreSlow:
		in.applyTemporarily(fault, func(on bool) { link.SetDelay(delayIf(on, maxStoreDelay)) })
	case LateWrites:
		in.applyTemporarily(fault, func(on bool) { store.ApplyLate(in.newFaultRand(fault), shareIf(on, fault.Share)) })
	case LostAnswers:
		in.applyTemporarily(fault, func(on bool) { link.SetLoss(shareIf(on, fault.Share)) })
	case Reread:
		store.CompactWatch(fault.Node)
	}
}

func (in *injector) injectLinks(fault Fault) {
	node := fault.Node
	switch fault.Kind {
	case PeersCut:
		in.applyTemporarily(fault, func(on bool) { in.links.forEachPeerLink(node, func(l *peerLink) { l.SetCut(on) }) })
	case PeersHold:
		in.applyTemporarily(fault, func(on bool) { in.links.forEachPeerLink(node, func(l *peerLink) { l.SetHeld(on) }) })
	case NodeCut:
		in.applyTemporarily(fault, func(on bool) {
			in.links.store[node].SetCut(on)
			in.links.forEachPeerLink(node, func(l *peerLink) { l.SetCut(on) })
		})
	case WorkersCut:
		in.applyTemporarily(fault, in.links.heartbeats[node].SetCut)
	case HeartbeatLoss:
		in.applyTemporarily(fault, func(on bool) { in.links.heartbeats[node].SetLoss(shareIf(on, fault.Share)) })
	}
}

func (in *injector) injectWorkers(fault Fault) {
	if fault.Kind == LateReports {
		rnd := in.newFaultRand(fault)
		in.applyTemporarily(fault, func(on bool) {
			if !on {
				rnd = nil
			}
			in.cluster.DuplicateHeartbeats(rnd, maxDuplicateJitter)
		})
		return
	}
	hosts := in.randomHosts(fault)
	in.applyTemporarily(fault, func(on bool) {
		for _, host := range hosts {
			switch fault.Kind {
			case NoInbound:
				in.cluster.BlockInbound(host, on)
			case NoOutbound:
				in.cluster.BlockOutbound(host, on)
			case Hang:
				in.cluster.FreezeMachine(host, on)
			case Isolate:
				in.cluster.IsolateWorker(host, on)
			case SlowAnswers:
				in.cluster.DelayInbound(host, delayIf(on, inboundDelay))
			}
		}
	})
}

// applyTemporarily switches a fault on by set(true), waits for the fault's duration, and switches it off by
// set(false).
func (in *injector) applyTemporarily(fault Fault, set func(on bool)) {
	set(true)
	in.waitForEnd(fault)
	set(false)
}

// waitForEnd waits for a fault's duration, or until the run ends if that is earlier.
func (in *injector) waitForEnd(fault Fault) { _ = kvstore.Sleep(in.ctx, fault.Duration) }

// randomHosts returns the machines that a fault affects. Each machine is chosen with the probability
// fault.Share.
func (in *injector) randomHosts(fault Fault) []string {
	rnd := in.newFaultRand(fault)
	var chosenHosts []string
	for _, host := range in.cluster.Hosts() {
		if rnd.Float64() < fault.Share {
			chosenHosts = append(chosenHosts, host)
		}
	}
	return chosenHosts
}

// newFaultRand returns a random number generator whose seed depends only on the fault.
func (in *injector) newFaultRand(fault Fault) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(fault.At), uint64(fault.Duration)))
}

// shareIf returns share if on is true, and 0 otherwise.
func shareIf(on bool, share float64) float64 {
	if !on {
		return 0
	}
	return share
}

// delayIf returns delay if on is true, and 0 otherwise.
func delayIf(on bool, delay time.Duration) time.Duration {
	if !on {
		return 0
	}
	return delay
}
