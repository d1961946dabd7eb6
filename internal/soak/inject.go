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
	seriesKillCount    = 4                       // number of kills in a KillSeries
	seriesGap          = 1500 * time.Millisecond // time from each restart in a KillSeries until the next kill
	maxStoreDelay      = 1200 * time.Millisecond // upper bound of the random delay of requests in a StoreSlow fault
	inboundDelay       = 3300 * time.Millisecond // delay of everything that is sent to a machine in a SlowAnswers fault
	maxDuplicateJitter = 12 * time.Second        // upper bound of the random part of a heartbeat's delay in a LateReports fault
)

// run injects the faults of a schedule and returns when the last one has ended. If two faults of the same kind
// overlap at the same target, the one that ends first also ends the other.
func (inj *injector) run(schedule []Fault) {
	startedAt := inj.checker.elapsed()
	for _, fault := range schedule {
		if kvstore.Sleep(inj.ctx, startedAt+fault.At-inj.checker.elapsed()) != nil {
			break
		}
		inj.checker.recordEvent("fault: %s", fault)
		inj.runningFaults.Go(func() {
			inj.inject(fault)
			inj.checker.recordEvent("over:  %s", fault)
		})
	}
	inj.runningFaults.Wait()
}

// inject injects one fault and returns when the fault has ended.
func (inj *injector) inject(fault Fault) {
	switch fault.Kind {
	case Kill, KillAll, KillSeries, Leave, Pause:
		inj.injectProcessFault(fault)
	case StoreCut, StoreHold, StoreRefuse, StoreOutage, StoreSlow, LateWrites, LostAnswers, Reread:
		inj.injectStoreFault(fault)
	case PeersCut, PeersHold, NodeCut, WorkersCut, HeartbeatLoss:
		inj.injectLinkFault(fault)
	case NoInbound, NoOutbound, Hang, Isolate, SlowAnswers, LateReports:
		inj.injectWorkerFault(fault)
	case CancelMany:
		inj.users.cancelMany(fault.Share)
	}
}

func (inj *injector) injectProcessFault(fault Fault) {
	switch fault.Kind {
	case Kill:
		inj.killAndRestart(fault.Duration, fault.Node)
	case KillAll:
		inj.killAndRestart(fault.Duration, inj.links.nodes...)
	case KillSeries:
		for range seriesKillCount {
			inj.killAndRestart(min(fault.Duration, 2*seriesGap), inj.busiestController())
			_ = kvstore.Sleep(inj.ctx, seriesGap)
		}
	case Leave:
		inj.processes.Signal(fault.Node, syscall.SIGTERM)
		inj.waitForEnd(fault)
		inj.killAndRestart(0, fault.Node)
	case Pause:
		inj.processes.Signal(fault.Node, syscall.SIGSTOP)
		inj.waitForEnd(fault)
		inj.processes.Signal(fault.Node, syscall.SIGCONT)
	}
}

// busiestController returns the controller whose shards have the most workers in total.
func (inj *injector) busiestController() string {
	workerCounts := map[string]int{}
	busiest := inj.links.nodes[0]
	for _, shard := range inj.links.nodes { // a shard has the name of its home controller
		owner := inj.cluster.OwnerOf(shard)
		workerCounts[owner] += inj.cluster.WorkersInShard(shard)
		if owner != "" && workerCounts[owner] > workerCounts[busiest] {
			busiest = owner
		}
	}
	return busiest
}

// killAndRestart kills controllers and starts them again after the downtime.
func (inj *injector) killAndRestart(downtime time.Duration, nodes ...string) {
	for _, node := range nodes {
		inj.processes.Kill(node)
	}
	_ = kvstore.Sleep(inj.ctx, downtime)
	for _, node := range nodes {
		if err := inj.processes.Start(node); err != nil {
			inj.checker.recordViolation("start: %v", err)
		}
	}
}

func (inj *injector) injectStoreFault(fault Fault) {
	store, link := inj.cluster.Store, inj.links.store[fault.Node]
	switch fault.Kind {
	case StoreCut:
		inj.applyTemporarily(fault, link.SetCut)
	case StoreHold:
		inj.applyTemporarily(fault, link.SetHeld)
	case StoreRefuse:
		inj.applyTemporarily(fault, func(on bool) { store.RefuseNode(fault.Node, on) })
	case StoreOutage:
		inj.applyTemporarily(fault, store.SetOutage)
	case StoreSlow:
		inj.applyTemporarily(fault, func(on bool) { link.SetDelay(delayIf(on, maxStoreDelay)) })
	case LateWrites:
		inj.applyTemporarily(fault, func(on bool) { store.ApplyLate(inj.newFaultRand(fault), shareIf(on, fault.Share)) })
	case LostAnswers:
		inj.applyTemporarily(fault, func(on bool) { link.SetLoss(shareIf(on, fault.Share)) })
	case Reread:
		store.CompactWatch(fault.Node)
	}
}

func (inj *injector) injectLinkFault(fault Fault) {
	node := fault.Node
	switch fault.Kind {
	case PeersCut:
		inj.applyTemporarily(fault, func(on bool) { inj.links.forEachPeerLink(node, func(l *peerLink) { l.SetCut(on) }) })
	case PeersHold:
		inj.applyTemporarily(fault, func(on bool) { inj.links.forEachPeerLink(node, func(l *peerLink) { l.SetHeld(on) }) })
	case NodeCut:
		inj.applyTemporarily(fault, func(on bool) {
			inj.links.store[node].SetCut(on)
			inj.links.forEachPeerLink(node, func(l *peerLink) { l.SetCut(on) })
		})
	case WorkersCut:
		inj.applyTemporarily(fault, inj.links.heartbeats[node].SetCut)
	case HeartbeatLoss:
		inj.applyTemporarily(fault, func(on bool) { inj.links.heartbeats[node].SetLoss(shareIf(on, fault.Share)) })
	}
}

func (inj *injector) injectWorkerFault(fault Fault) {
	if fault.Kind == LateReports {
		rnd := inj.newFaultRand(fault)
		inj.applyTemporarily(fault, func(on bool) {
			if !on {
				rnd = nil
			}
			inj.cluster.DuplicateHeartbeats(rnd, maxDuplicateJitter)
		})
		return
	}
	hosts := inj.randomHosts(fault)
	inj.applyTemporarily(fault, func(on bool) {
		for _, host := range hosts {
			switch fault.Kind {
			case NoInbound:
				inj.cluster.BlockInbound(host, on)
			case NoOutbound:
				inj.cluster.BlockOutbound(host, on)
			case Hang:
				inj.cluster.FreezeMachine(host, on)
			case Isolate:
				inj.cluster.IsolateWorker(host, on)
			case SlowAnswers:
				inj.cluster.DelayInbound(host, delayIf(on, inboundDelay))
			}
		}
	})
}

// applyTemporarily switches a fault on by switchFault(true), waits for the fault's duration, and switches the
// fault off by switchFault(false).
func (inj *injector) applyTemporarily(fault Fault, switchFault func(on bool)) {
	switchFault(true)
	inj.waitForEnd(fault)
	switchFault(false)
}

// waitForEnd waits for a fault's duration, or until the run ends if that is earlier.
func (inj *injector) waitForEnd(fault Fault) { _ = kvstore.Sleep(inj.ctx, fault.Duration) }

// randomHosts returns the machines that a fault affects. Each machine is chosen with the probability
// fault.Share.
func (inj *injector) randomHosts(fault Fault) []string {
	rnd := inj.newFaultRand(fault)
	var chosenHosts []string
	for _, host := range inj.cluster.Hosts() {
		if rnd.Float64() < fault.Share {
			chosenHosts = append(chosenHosts, host)
		}
	}
	return chosenHosts
}

// newFaultRand returns a random number generator whose seed depends only on the fault.
func (inj *injector) newFaultRand(fault Fault) *rand.Rand {
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
