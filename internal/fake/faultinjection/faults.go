package faultinjection

import (
	"math/rand/v2"
	"time"

	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

// minMachines is the minimum number of machines while faults are combined. Machines that miss heartbeats are
// released, and InjectFaults adds new ones.
const minMachines = 8

// singleFaults are the faults of injectSingle that last until a later step changes them.
type singleFaults struct {
	refusedNode string // controller that the key-value store refuses, empty for none
	isStoreDown bool
	isolated    map[string]bool // by machine; false if the machine's isolation has ended
}

// InjectFaults runs the given number of random steps. Each step sends a user's request, or begins or ends a
// fault. Then InjectFaults ends all faults and starts all controllers.
func (r *FaultRun) InjectFaults(rnd *rand.Rand, steps int) {
	r.rnd = rnd
	r.faults = singleFaults{isolated: map[string]bool{}}
	for range steps {
		time.Sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
		r.checkCancelledTasks()
		if r.CombineFaults && len(r.Hosts()) < r.minMachines {
			r.AddMachine(randomElement(rnd, zones), false)
		}
		r.step()
	}
	r.clearCombined()
	r.clearSingle()
}

// step runs one random step. If no controller runs, it only starts some.
func (r *FaultRun) step() {
	runningNodes := r.runningControllers()
	if len(runningNodes) == 0 {
		for _, name := range controllerNames {
			if r.rnd.IntN(3) > 0 {
				r.StartController(name)
			}
		}
		return
	}
	node := randomElement(r.rnd, runningNodes)
	if r.CombineFaults && r.rnd.IntN(5) == 0 {
		r.injectCombined(node)
		return
	}
	r.maxDependencies = 0
	if r.WithDependencies && len(r.jobRefs) > 0 && r.rnd.IntN(2) == 0 {
		r.maxDependencies = 1 + r.rnd.IntN(3)
	}
	r.requestOrInject(node, runningNodes)
}

// requestOrInject sends a user's request to a controller, or begins or ends a single fault. The random number
// action selects which of these it does; the bounds of the cases are cumulative percentages, which injectSingle
// continues. A seed's scenario depends on the sequence of the random numbers, which must not change.
func (r *FaultRun) requestOrInject(node string, runningNodes []string) {
	hasJobs := len(r.jobRefs) > 0
	switch action := r.rnd.IntN(100); {
	case action < 25:
		r.submit(node, jobs.Gang, 1+r.rnd.IntN(6), 3, r.runTime(2+r.rnd.IntN(12)))
	case action < 35:
		r.submit(node, jobs.Array, 1+r.rnd.IntN(20), 1, r.runTime(1+r.rnd.IntN(9)))
	case action < 50 && hasJobs:
		r.poll(node, randomElement(r.rnd, r.jobRefs), "poll")
	case action < 56 && hasJobs:
		r.cancel(node, randomElement(r.rnd, r.jobRefs))
	default:
		r.injectSingle(action, node, runningNodes)
	}
}

// injectSingle begins or ends the single fault that action selects. action is the random number that
// requestOrInject has generated.
func (r *FaultRun) injectSingle(action int, node string, runningNodes []string) {
	switch {
	case action < 62:
		r.endController(node)
	case action < 66:
		for _, name := range runningNodes {
			r.CrashController(name)
		}
	case action < 76:
		r.startSomeControllers()
	case action < 86:
		r.toggleIsolation()
	case action < 91:
		r.changeRefusedNode(node)
	case action < 94:
		r.faults.isStoreDown = !r.faults.isStoreDown && r.rnd.IntN(2) == 0
		r.Store.SetOutage(r.faults.isStoreDown)
	case action < 96:
		r.SetPeerLink(fake.PeerLink{
			IsCut:        r.rnd.IntN(4) == 0,
			ChunksToDrop: r.rnd.IntN(2),
			Delay:        time.Duration(r.rnd.IntN(2)*r.rnd.IntN(3000)) * time.Millisecond,
		})
	case action < 98:
		r.Store.DelayWatch(node, randomMilliseconds(r.rnd, 600))
	case action < 99:
		r.Nodes[node].Conn.DelayNextTxn(randomMilliseconds(r.rnd, 20000))
	default:
		r.Nodes[node].Conn.DropResponses(1)
	}
}

// endController shuts a controller down or crashes it.
func (r *FaultRun) endController(node string) {
	if r.rnd.IntN(3) == 0 {
		r.StopController(node)
	} else {
		r.CrashController(node)
	}
}

// startSomeControllers looks at each controller that does not run, and starts it with a probability
// of one half.
func (r *FaultRun) startSomeControllers() {
	for _, name := range controllerNames {
		if r.Nodes[name] == nil && r.rnd.IntN(2) == 0 {
			r.StartController(name)
		}
	}
}

// toggleIsolation begins or ends the isolation of a random machine.
func (r *FaultRun) toggleIsolation() {
	host := randomElement(r.rnd, r.Hosts())
	r.faults.isolated[host] = !r.faults.isolated[host]
	r.IsolateWorker(host, r.faults.isolated[host])
}

// changeRefusedNode makes the key-value store serve the controller that it has refused so far, if any. With a
// probability of one half, the store then refuses the given controller instead.
func (r *FaultRun) changeRefusedNode(node string) {
	r.Store.RefuseNode(r.faults.refusedNode, false)
	r.faults.refusedNode = ""
	if r.rnd.IntN(2) == 0 {
		r.faults.refusedNode = node
		r.Store.RefuseNode(node, true)
	}
}

// clearSingle ends all single faults and starts all controllers.
func (r *FaultRun) clearSingle() {
	r.SetPeerLink(fake.PeerLink{})
	r.Store.RefuseNode(r.faults.refusedNode, false)
	r.Store.SetOutage(false)
	for host := range r.faults.isolated {
		r.IsolateWorker(host, false)
	}
	for _, name := range controllerNames {
		r.Store.DelayWatch(name, 0)
		if r.Nodes[name] == nil {
			r.StartController(name)
		}
	}
}
