package reconciliation

import (
	"context"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"

	"golang.org/x/time/rate"
)

// Prober shows a worker a fencing token without any command and returns the worker's present
// heartbeat. agentEpoch is the agent epoch in which the worker is believed to be.
type Prober interface {
	Probe(ctx context.Context, addr string, fencingToken, agentEpoch uint64) (*workerapi.Heartbeat, error)
}

// AgentSessions is what FirstContact needs of the manager of the agent sessions.
type AgentSessions interface {
	// AgentEpoch returns the agent epoch of a worker's last heartbeat, 0 if there was none.
	AgentEpoch(machine *clusterstate.Machine) uint64
	// ProbeAnswered receives the heartbeat that answers a probe under a fencing token.
	ProbeAnswered(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, fencingToken uint64)
}

// FirstContact makes the first exchange with each worker of a shard that has a new owner: either
// the response to the worker's first heartbeat, which carries the new fencing token, or a probe.
// Each exchange costs processor time and makes the worker send one more heartbeat, and after a
// start of all controllers all workers come within the same second. So the exchanges are limited
// to a rate that follows from the processor limit. Responses go first, since the leases of those
// workers depend on them; then come probes of the workers that have sent nothing.
//
// It has no locks: the actor whose mailbox it was given owns it.
type FirstContact struct {
	Dependencies
	mailbox  *actor.Mailbox
	prober   Prober // nil: no worker is probed
	sessions AgentSessions
	limiter  *rate.Limiter

	pendingResponses []func()                            // in the order of arrival
	tokenSentAt      map[*clusterstate.Machine]time.Time // when a worker's heartbeat was answered with the token
	probeQueue       []*clusterstate.Machine
	isQueued         map[*clusterstate.Machine]bool
	timer            *time.Timer // calls Run at timerDueAt
	timerDueAt       time.Time
	// Probes in flight. Slow ones will most likely not be answered, and count only against the
	// larger limit in atProbeLimit. Otherwise they delay the probes of reachable workers: a shard
	// with 230 workers behind a network partition took 15 s to probe the rest.
	recentProbes, slowProbes int
}

// NewFirstContact returns an empty FirstContact. prober may be nil.
func NewFirstContact(mailbox *actor.Mailbox, cfg *config.Config, deps Dependencies, prober Prober, sessions AgentSessions) *FirstContact {
	c := &FirstContact{
		Dependencies: deps,
		mailbox:      mailbox,
		prober:       prober,
		sessions:     sessions,
		limiter:      NewContactLimiter(cfg, tuning.FirstContactCPUFraction),
	}
	c.Reset()
	return c
}

// NewContactLimiter limits exchanges with workers to the rate that takes a fraction of the
// controller's processor limit. Without such a limit the rate is not limited.
func NewContactLimiter(cfg *config.Config, cpuFraction float64) *rate.Limiter {
	cores := cfg.Cluster.Limits.Cores
	if cores <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	perSecond := cores * cpuFraction / tuning.FirstContactCPUTime.Seconds()
	burst := max(1, int(perSecond*tuning.FirstContactBurst.Seconds()))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// Reset drops all machines, since their records are read again. Probes in flight still complete,
// and pending responses are still sent.
func (c *FirstContact) Reset() {
	c.probeQueue = nil
	c.isQueued = map[*clusterstate.Machine]bool{}
	c.tokenSentAt = map[*clusterstate.Machine]time.Time{}
}

// RemoveWorker drops a worker that no longer exists.
func (c *FirstContact) RemoveWorker(machine *clusterstate.Machine) {
	delete(c.tokenSentAt, machine)
	delete(c.isQueued, machine)
}

// EnqueueResponse has respond, which answers the worker's first heartbeat to a new owner, called
// when the worker's turn comes. A later Reset or RemoveWorker does not prevent the call, so respond
// must check again whether the worker may still be answered.
//
// EnqueueResponse returns false, and drops respond, if more responses are pending than can be sent
// while the workers wait: the caller then refuses the heartbeat at once.
func (c *FirstContact) EnqueueResponse(machine *clusterstate.Machine, respond func()) bool {
	if c.isOverloaded() {
		return false
	}
	c.pendingResponses = append(c.pendingResponses, func() {
		c.tokenSentAt[machine] = time.Now()
		respond()
	})
	c.Run()
	return true
}

// isOverloaded reports whether the responses that are pending take longer to send than their workers
// wait for them.
func (c *FirstContact) isOverloaded() bool {
	perSecond := c.limiter.Limit()
	if perSecond == rate.Inf {
		return false
	}
	usableWait := tuning.MaxHeartbeatAge - tuning.HeartbeatAfterTokenDelay
	return float64(len(c.pendingResponses)) > float64(perSecond)*usableWait.Seconds()
}

// EnqueueProbe has a worker that has a new owner probed when its turn comes. It does nothing for a
// worker that needs no probe, has no address or is being released.
//
// Without a probe the owner would wait until the worker has found it, has learned the new fencing
// token and has sent one more heartbeat: up to 15 s at a heartbeat interval of 5 s. The answer is
// worth as much as a heartbeat under the new token: the worker made it after it had seen the token,
// and obeys no older one from then on. A probe that arrives late does no harm, since it shows a token
// that this controller did own, and a worker that has seen a higher one refuses it.
func (c *FirstContact) EnqueueProbe(machine *clusterstate.Machine) {
	if c.prober == nil || c.isQueued[machine] || machine.Record().Addr == "" {
		return
	}
	if !c.needsProbe(machine) || machine.IsReleasing() {
		return
	}
	delete(c.tokenSentAt, machine)
	c.isQueued[machine] = true
	c.probeQueue = append(c.probeQueue, machine)
	c.Run()
}

// needsProbe reports whether a worker belongs to a local shard, has not reported to this controller
// yet, and may still do so because its lease may be valid.
func (c *FirstContact) needsProbe(machine *clusterstate.Machine) bool {
	return c.State.OwnedShard(machine) != nil && !machine.HasReported() && !machine.IsLost()
}

// Run sends the responses and probes that the rate limit allows now, and schedules itself for the
// others.
func (c *FirstContact) Run() {
	c.sendResponses()
	if len(c.pendingResponses) == 0 {
		c.sendProbes()
	}
}

func (c *FirstContact) sendResponses() {
	for len(c.pendingResponses) > 0 && c.reserveTurn() {
		respond := c.pendingResponses[0]
		c.pendingResponses = c.pendingResponses[1:]
		respond()
	}
}

// sendProbes looks at each queued worker at most once.
func (c *FirstContact) sendProbes() {
	for range len(c.probeQueue) {
		if c.atProbeLimit() {
			return
		}
		machine := c.probeQueue[0]
		shard := c.State.OwnedShard(machine)
		if shard != nil && !c.Cache.HasReachedEpoch(shard) {
			return // Run is called again when the cache has caught up
		}
		if !c.needsProbe(machine) || !c.State.IsCurrentMachine(machine) {
			c.dequeueProbe()
			continue
		}
		if wait := c.heartbeatWait(machine); wait > 0 {
			c.probeQueue = append(c.probeQueue[1:], machine)
			c.runAfter(wait)
			continue
		}
		if !c.reserveTurn() {
			return
		}
		c.dequeueProbe()
		c.sendProbe(machine, FencingToken(shard, machine))
	}
}

func (c *FirstContact) atProbeLimit() bool {
	return c.recentProbes >= tuning.MaxConcurrentFirstContacts ||
		c.recentProbes+c.slowProbes >= tuning.MaxOpenFirstContacts
}

// heartbeatWait returns how long a worker is still left to send its next heartbeat by itself,
// because it was sent the fencing token a moment ago.
func (c *FirstContact) heartbeatWait(machine *clusterstate.Machine) time.Duration {
	return tuning.HeartbeatAfterTokenDelay - time.Since(c.tokenSentAt[machine])
}

func (c *FirstContact) dequeueProbe() {
	delete(c.isQueued, c.probeQueue[0])
	c.probeQueue = c.probeQueue[1:]
}

// reserveTurn reports whether the rate limit allows one more exchange now. If not, Run is called
// when it does.
func (c *FirstContact) reserveTurn() bool {
	reservation := c.limiter.Reserve()
	wait := reservation.Delay()
	if wait == 0 {
		return true
	}
	reservation.Cancel()
	c.runAfter(wait)
	return false
}

// runAfter has Run called after wait, unless it is due earlier already.
func (c *FirstContact) runAfter(wait time.Duration) {
	dueAt := time.Now().Add(wait)
	if c.timer != nil {
		if !dueAt.Before(c.timerDueAt) {
			return
		}
		c.timer.Stop()
	}
	c.timerDueAt = dueAt
	c.timer = c.mailbox.SendAfter(wait, func() {
		c.timer = nil
		c.Run()
	})
}

// probe is a probe in flight.
type probe struct{ isSlow, isDone bool }

// sendProbe probes a worker. The goroutine ends with the mailbox's context at the latest.
func (c *FirstContact) sendProbe(machine *clusterstate.Machine, fencingToken uint64) {
	p := &probe{}
	c.recentProbes++
	slowTimer := c.mailbox.SendAfter(tuning.SlowFirstContactAfter, func() { c.markSlow(p) })
	addr, agentEpoch := machine.Record().Addr, max(1, c.sessions.AgentEpoch(machine))
	go func() {
		heartbeat, err := c.prober.Probe(c.mailbox.Context(), addr, fencingToken, agentEpoch)
		slowTimer.Stop()
		c.mailbox.Send(func() {
			c.markDone(p)
			if err == nil {
				c.sessions.ProbeAnswered(machine, heartbeat, fencingToken)
			} else {
				// The machine may no longer exist: the previous owner may have released it just
				// before it ended itself. The mark makes machinelifecycle read the cloud's list
				// at once. Otherwise the shard would wait for the machine until several
				// heartbeats are missed.
				c.State.MarkProbeUnanswered(machine)
			}
			c.Run()
		})
	}()
}

func (c *FirstContact) markSlow(p *probe) {
	if p.isDone {
		return // the answer came while the timer's message was queued
	}
	p.isSlow = true
	c.recentProbes--
	c.slowProbes++
	c.Run()
}

func (c *FirstContact) markDone(p *probe) {
	p.isDone = true
	if p.isSlow {
		c.slowProbes--
	} else {
		c.recentProbes--
	}
}
