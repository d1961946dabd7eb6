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

// injector carries out the faults of a schedule. Each fault ends by itself, so that none is left when all
// have ended.
type injector struct {
	ctx       context.Context
	judge     *judge
	cluster   *fake.Cluster
	links     *links
	processes *processes
	users     *users
	inFlight  sync.WaitGroup
}

// Strengths of faults.
const (
	seriesKills     = 4
	seriesGap       = 1500 * time.Millisecond
	maxStoreDelay   = 1200 * time.Millisecond
	maxInboundDelay = 3300 * time.Millisecond
	maxCopyDelay    = 12 * time.Second
)

// run carries out a schedule and returns when the last fault has ended. Faults of the same kind at the same
// target may overlap: the first to end then ends both.
func (in *injector) run(schedule []Fault) {
	beganAt := in.judge.now()
	for _, fault := range schedule {
		if kvstore.Sleep(in.ctx, beganAt+fault.At-in.judge.now()) != nil {
			break
		}
		in.judge.note("fault: %s", fault)
		in.inFlight.Go(func() {
			in.inject(fault)
			in.judge.note("over:  %s", fault)
		})
	}
	in.inFlight.Wait()
}

// inject carries out one fault.
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
		in.killAndRestart(fault.Length, fault.Node)
	case KillAll:
		in.killAndRestart(fault.Length, in.links.nodes...)
	case KillSeries:
		for range seriesKills {
			in.killAndRestart(min(fault.Length, 2*seriesGap), in.busiest())
			_ = kvstore.Sleep(in.ctx, seriesGap)
		}
	case Leave:
		in.processes.Signal(fault.Node, syscall.SIGTERM)
		in.wait(fault)
		in.killAndRestart(0, fault.Node)
	case Pause:
		in.processes.Signal(fault.Node, syscall.SIGSTOP)
		in.wait(fault)
		in.processes.Signal(fault.Node, syscall.SIGCONT)
	}
}

// busiest returns the owner of the most workers.
func (in *injector) busiest() string {
	workers := map[string]int{}
	best := in.links.nodes[0]
	for _, shard := range in.links.nodes { // a shard has the name of its home controller
		owner := in.cluster.OwnerOf(shard)
		workers[owner] += in.cluster.WorkersInShard(shard)
		if owner != "" && workers[owner] > workers[best] {
			best = owner
		}
	}
	return best
}

func (in *injector) killAndRestart(downtime time.Duration, nodes ...string) {
	for _, node := range nodes {
		in.processes.Kill(node)
	}
	_ = kvstore.Sleep(in.ctx, downtime)
	for _, node := range nodes {
		if err := in.processes.Start(node); err != nil {
			in.judge.report("start: %v", err)
		}
	}
}

func (in *injector) injectStore(fault Fault) {
	store, link := in.cluster.Store, in.links.store[fault.Node]
	switch fault.Kind {
	case StoreCut:
		in.during(fault, link.SetCut)
	case StoreHold:
		in.during(fault, link.Hold)
	case StoreRefuse:
		in.during(fault, func(on bool) { store.RefuseNode(fault.Node, on) })
	case StoreOutage:
		in.during(fault, store.SetOutage)
	case StoreSlow:
		in.during(fault, func(on bool) { link.SetDelay(delayIf(on, maxStoreDelay)) })
	case LateWrites:
		in.during(fault, func(on bool) { store.ApplyLate(in.newRand(fault), shareIf(on, fault.Share)) })
	case LostAnswers:
		in.during(fault, func(on bool) { link.SetLoss(shareIf(on, fault.Share)) })
	case Reread:
		store.CompactWatch(fault.Node)
	}
}

func (in *injector) injectLinks(fault Fault) {
	node := fault.Node
	switch fault.Kind {
	case PeersCut:
		in.during(fault, func(on bool) { in.links.eachPeerLink(node, func(l *peerLink) { l.SetCut(on) }) })
	case PeersHold:
		in.during(fault, func(on bool) { in.links.eachPeerLink(node, func(l *peerLink) { l.Hold(on) }) })
	case NodeCut:
		in.during(fault, func(on bool) {
			in.links.store[node].SetCut(on)
			in.links.eachPeerLink(node, func(l *peerLink) { l.SetCut(on) })
		})
	case WorkersCut:
		in.during(fault, in.links.heartbeats[node].SetCut)
	case HeartbeatLoss:
		in.during(fault, func(on bool) { in.links.heartbeats[node].SetLoss(shareIf(on, fault.Share)) })
	}
}

func (in *injector) injectWorkers(fault Fault) {
	if fault.Kind == LateReports {
		rnd := in.newRand(fault)
		in.during(fault, func(on bool) {
			if !on {
				rnd = nil
			}
			in.cluster.DuplicateHeartbeats(rnd, maxCopyDelay)
		})
		return
	}
	hosts := in.anyHosts(fault)
	in.during(fault, func(on bool) {
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
				in.cluster.DelayInbound(host, delayIf(on, maxInboundDelay))
			}
		}
	})
}

// during sets a fault for its time.
func (in *injector) during(fault Fault, set func(on bool)) {
	set(true)
	in.wait(fault)
	set(false)
}

func (in *injector) wait(fault Fault) { _ = kvstore.Sleep(in.ctx, fault.Length) }

// anyHosts draws the machines of a fault.
func (in *injector) anyHosts(fault Fault) []string {
	rnd := in.newRand(fault)
	var chosen []string
	for _, host := range in.cluster.Hosts() {
		if rnd.Float64() < fault.Share {
			chosen = append(chosen, host)
		}
	}
	return chosen
}

// newRand returns random numbers that depend on the fault alone.
func (in *injector) newRand(fault Fault) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(fault.At), uint64(fault.Length)))
}

func shareIf(on bool, share float64) float64 {
	if !on {
		return 0
	}
	return share
}

func delayIf(on bool, delay time.Duration) time.Duration {
	if !on {
		return 0
	}
	return delay
}
