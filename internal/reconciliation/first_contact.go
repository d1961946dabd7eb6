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

// Prober sends a worker a fencing token without any command and returns the worker's current
// heartbeat. agentEpoch is the last known agent epoch of the worker.
type Prober interface {
	Probe(ctx context.Context, addr string, fencingToken, agentEpoch uint64) (*workerapi.Heartbeat, error)
}

// AgentSessions is the part of workersession.Manager that FirstContact uses.
type AgentSessions interface {
	// AgentEpoch returns the agent epoch of a worker's last heartbeat, 0 if there was none.
	AgentEpoch(machine *clusterstate.Machine) uint64
	// HandleProbeAnswer handles the heartbeat with which a worker answered a probe that carried
	// fencingToken.
	HandleProbeAnswer(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, fencingToken uint64)
}

// FirstContact makes the first exchange with each worker of a shard that has a new owner: either
// the response to the worker's first heartbeat, which carries the new fencing token, or a probe.
// Each exchange costs processor time and makes the worker send one more heartbeat, and after a
// start of all controllers all workers make contact within the same second. So the rate of the
// exchanges is limited, in proportion to the controller's processor limit. Responses are sent
// first, because the workers' leases depend on them, and then probes to the workers that have sent
// no heartbeat.
//
// A FirstContact is not safe for concurrent use: the actor that owns its mailbox also owns it.
type FirstContact struct {
	Dependencies
	mailbox  *actor.Mailbox
	prober   Prober // nil if no worker is to be probed
	sessions AgentSessions
	limiter  *rate.Limiter

	pendingResponses []func()                            // in the order in which the heartbeats arrived
	tokenSentAt      map[*clusterstate.Machine]time.Time // when a worker's heartbeat was last answered with the new fencing token
	probeQueue       []*clusterstate.Machine
	isProbeQueued    map[*clusterstate.Machine]bool
	timer            *time.Timer // calls Run at timerDueAt; nil if no call is scheduled
	timerDueAt       time.Time
	// recentProbeCount and slowProbeCount are the numbers of probes in flight. A probe is slow once
	// tuning.SlowFirstContactAfter has passed without an answer. Slow probes will most likely not be
	// answered, and count only against the larger limit in isAtProbeLimit. Otherwise they would delay
	// the probes of reachable workers: while 230 workers of a shard were behind a network partition,
	// it took 15 s to probe the others.
	recentProbeCount, slowProbeCount int
}

// NewFirstContact returns a FirstContact with empty queues. prober may be nil: then no worker is
// probed.
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

// NewContactLimiter returns a limiter for exchanges with workers. The exchanges that it allows use at
// most cpuFraction of the controller's processor limit. If no processor limit is configured, the limiter
// allows any rate.
func NewContactLimiter(cfg *config.Config, cpuFraction float64) *rate.Limiter {
	cores := cfg.Cluster.Limits.Cores
	if cores <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	perSecond := cores * cpuFraction / tuning.FirstContactCPUTime.Seconds()
	burst := max(1, int(perSecond*tuning.FirstContactBurst.Seconds()))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// Reset drops all machines, because their records are about to be read again. Probes in flight
// still complete, and pending responses are still sent.
func (c *FirstContact) Reset() {
	c.probeQueue = nil
	c.isProbeQueued = map[*clusterstate.Machine]bool{}
	c.tokenSentAt = map[*clusterstate.Machine]time.Time{}
}

// RemoveWorker drops a worker that no longer exists.
func (c *FirstContact) RemoveWorker(machine *clusterstate.Machine) {
	delete(c.tokenSentAt, machine)
	delete(c.isProbeQueued, machine)
}

// EnqueueResponse queues respond, which answers the worker's first heartbeat to a new owner. Run calls
// respond when the rate limit allows. A later Reset or RemoveWorker does not prevent the call, so
// respond must check again whether the worker may still be answered.
//
// EnqueueResponse returns false, and drops respond, if more responses are pending than can be sent
// while the workers wait. The caller then refuses the heartbeat at once.
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

// isOverloaded reports whether sending the pending responses takes longer than their workers wait.
func (c *FirstContact) isOverloaded() bool {
	perSecond := c.limiter.Limit()
	if perSecond == rate.Inf {
		return false
	}
	usableWait := tuning.MaxHeartbeatAge - tuning.HeartbeatAfterTokenDelay
	return float64(len(c.pendingResponses)) > float64(perSecond)*usableWait.Seconds()
}

// EnqueueProbe queues a probe of a worker that has a new owner, and sends it when the rate limit
// allows. It does nothing for a worker that needs no probe, whose probe is already queued, that has no
// address or that is being released.
//
// Without a probe the owner would wait until the worker has found the owner, has learned the new
// fencing token and has sent one more heartbeat: up to 15 s at a heartbeat interval of 5 s. The
// answer to a probe is as reliable as a heartbeat under the new token: the worker composed it after
// it had seen the token, and obeys no older token from then on. A probe that arrives late does no
// harm: it carries a token that belonged to this controller, and a worker that has seen a higher
// token refuses it.
func (c *FirstContact) EnqueueProbe(machine *clusterstate.Machine) {
	if c.prober == nil || c.isProbeQueued[machine] || machine.Record().Addr == "" {
		return
	}
	if !c.needsProbe(machine) || machine.IsReleasing() {
		return
	}
	delete(c.tokenSentAt, machine)
	c.isProbeQueued[machine] = true
	c.probeQueue = append(c.probeQueue, machine)
	c.Run()
}

// needsProbe reports whether a worker belongs to a local shard, has not reported to this controller
// yet, and may still report because its lease may be valid.
func (c *FirstContact) needsProbe(machine *clusterstate.Machine) bool {
	return c.State.OwnedShard(machine) != nil && !machine.HasReported() && !machine.IsLost()
}

// Run sends the responses and probes that the rate limit allows now, and schedules another call of
// Run for the others.
func (c *FirstContact) Run() {
	c.sendResponses()
	if len(c.pendingResponses) == 0 {
		c.sendProbes()
	}
}

func (c *FirstContact) sendResponses() {
	for len(c.pendingResponses) > 0 && c.reserveExchange() {
		respond := c.pendingResponses[0]
		c.pendingResponses = c.pendingResponses[1:]
		respond()
	}
}

// sendProbes sends the queued probes until a limit is reached. It considers each queued worker at
// most once.
func (c *FirstContact) sendProbes() {
	for range len(c.probeQueue) {
		if c.isAtProbeLimit() {
			return
		}
		machine := c.probeQueue[0]
		shard := c.State.OwnedShard(machine)
		if shard != nil && !c.Cache.HasReachedEpoch(shard) {
			return // Run is called again when the cache has reached the shard's epoch
		}
		if !c.needsProbe(machine) || !c.State.IsCurrentMachine(machine) {
			c.dequeueProbe()
			continue
		}
		if wait := c.heartbeatWait(machine); wait > 0 {
			c.probeQueue = append(c.probeQueue[1:], machine)
			c.scheduleRun(wait)
			continue
		}
		if !c.reserveExchange() {
			return
		}
		c.dequeueProbe()
		c.sendProbe(machine, FencingToken(shard, machine))
	}
}

func (c *FirstContact) isAtProbeLimit() bool {
	return c.recentProbeCount >= tuning.MaxConcurrentFirstContacts ||
		c.recentProbeCount+c.slowProbeCount >= tuning.MaxOpenFirstContacts
}

// heartbeatWait returns how much longer to wait for a worker's next heartbeat before the worker is
// probed: once a worker has received the fencing token, it soon sends a heartbeat without being
// probed. The result is zero or negative if there is nothing to wait for.
func (c *FirstContact) heartbeatWait(machine *clusterstate.Machine) time.Duration {
	return tuning.HeartbeatAfterTokenDelay - time.Since(c.tokenSentAt[machine])
}

func (c *FirstContact) dequeueProbe() {
	delete(c.isProbeQueued, c.probeQueue[0])
	c.probeQueue = c.probeQueue[1:]
}

// reserveExchange reports whether the rate limit allows one more exchange now. If not, it schedules a
// call of Run for the time at which the limit allows one.
func (c *FirstContact) reserveExchange() bool {
	reservation := c.limiter.Reserve()
	wait := reservation.Delay()
	if wait == 0 {
		return true
	}
	reservation.Cancel()
	c.scheduleRun(wait)
	return false
}

// scheduleRun schedules a call of Run after wait, unless an earlier call is already scheduled.
func (c *FirstContact) scheduleRun(wait time.Duration) {
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

// sendProbe probes a worker in a goroutine, which ends with the mailbox's context at the latest.
func (c *FirstContact) sendProbe(machine *clusterstate.Machine, fencingToken uint64) {
	p := &probe{}
	c.recentProbeCount++
	slowTimer := c.mailbox.SendAfter(tuning.SlowFirstContactAfter, func() { c.markSlow(p) })
	addr, agentEpoch := machine.Record().Addr, max(1, c.sessions.AgentEpoch(machine))
	go func() {
		heartbeat, err := c.prober.Probe(c.mailbox.Context(), addr, fencingToken, agentEpoch)
		slowTimer.Stop()
		c.mailbox.Send(func() {
			c.markDone(p)
			if err == nil {
				c.sessions.HandleProbeAnswer(machine, heartbeat, fencingToken)
			} else {
				// The machine may no longer exist: the previous owner may have released it shortly
				// before that controller stopped. MarkProbeUnanswered makes machinelifecycle read
				// the cloud's list of machines at once. Otherwise the shard would wait for the
				// machine until several heartbeats are missed.
				c.State.MarkProbeUnanswered(machine)
			}
			c.Run()
		})
	}()
}

func (c *FirstContact) markSlow(p *probe) {
	if p.isDone {
		return // the probe completed while the timer's message was queued
	}
	p.isSlow = true
	c.recentProbeCount--
	c.slowProbeCount++
	c.Run()
}

func (c *FirstContact) markDone(p *probe) {
	p.isDone = true
	if p.isSlow {
		c.slowProbeCount--
	} else {
		c.recentProbeCount--
	}
}
