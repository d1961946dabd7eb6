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

// Prober shows a worker a token, without any order, and returns its report of that
// moment. watch is the session in which it is believed to be.
type Prober interface {
	Probe(ctx context.Context, addr string, token, watch uint64) (*workerapi.Heartbeat, error)
}

// FirstContact are the first words with each worker of a share that has a new holder: the
// answer to its first report, which tells it the token, or a greeting. Each costs an
// exchange and makes the worker report once more, and after a start of all controllers
// all workers come within the same second. So they are spoken to at a pace that follows
// from the processor's share: those first that came by themselves, since their leases
// hang on the answer, then those that have not.
type FirstContact struct {
	Dependencies
	mailbox *actor.Mailbox
	prober  Prober // nil: no worker is asked
	limiter *rate.Limiter
	// agentEpoch tells the session of a worker's last report, greeted takes in the report
	// that answers a greeting under a token.
	agentEpoch    func(m *clusterstate.Machine) uint64
	probeAnswered func(m *clusterstate.Machine, rep *workerapi.Heartbeat, token uint64)

	pendingResponses []func()                            // answers that wait for their turn, the oldest first
	tokenSentAt      map[*clusterstate.Machine]time.Time // when a worker that came was told the token
	probeQueue       []*clusterstate.Machine             // to be greeted
	isQueued         map[*clusterstate.Machine]bool
	timer            *time.Timer // Go is called at due
	timerDueAt       time.Time
	// Greetings under way: begun a moment ago, and those that take long. The second are
	// most likely silent and must not hold up the others: a share with 230 machines behind
	// a cut needed 15 s for the rest.
	recentProbes, slowProbes int
}

// NewFirstContact makes them.
func NewFirstContact(mailbox *actor.Mailbox, cfg *config.Config, s Dependencies, prober Prober, watch func(machine *clusterstate.Machine) uint64,
	greeted func(machine *clusterstate.Machine, heartbeat *workerapi.Heartbeat, fencingToken uint64)) *FirstContact {
	c := &FirstContact{Dependencies: s, mailbox: mailbox, prober: prober, agentEpoch: watch, probeAnswered: greeted, limiter: NewContactLimiter(cfg, tuning.FirstContactCPUFraction)}
	c.Reset()
	return c
}

// NewContactLimiter is how fast workers may be spoken to with a part of the processor's share.
func NewContactLimiter(cfg *config.Config, part float64) *rate.Limiter {
	cores := cfg.Cluster.Limits.Cores
	if cores <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	a := cores * part / tuning.FirstContactCPUTime.Seconds()
	return rate.NewLimiter(rate.Limit(a), max(1, int(a*tuning.FirstContactBurst.Seconds())))
}

// Reset forgets the machines: their records are read anew. Greetings under way still end,
// answers that wait are still given.
func (c *FirstContact) Reset() {
	c.probeQueue, c.isQueued, c.tokenSentAt = nil, map[*clusterstate.Machine]bool{}, map[*clusterstate.Machine]time.Time{}
}

// RemoveWorker forgets a worker that is no more.
func (c *FirstContact) RemoveWorker(machine *clusterstate.Machine) {
	delete(c.tokenSentAt, machine)
	delete(c.isQueued, machine)
}

// EnqueueResponse has the first report of a worker under a new holder answered when its turn comes.
// The answer is to be given in any case; it must look anew whether it still may.
//
// It tells whether it will be in time; if more wait than can be answered while workers
// wait, the worker is to be refused at once.
func (c *FirstContact) EnqueueResponse(machine *clusterstate.Machine, answer func()) bool {
	if a := c.limiter.Limit(); a != rate.Inf && float64(len(c.pendingResponses)) > float64(a)*(tuning.MaxHeartbeatAge-tuning.HeartbeatAfterTokenDelay).Seconds() {
		return false
	}
	c.pendingResponses = append(c.pendingResponses, func() {
		c.tokenSentAt[machine] = time.Now()
		answer()
	})
	c.Run()
	return true
}

// EnqueueProbe asks a worker that has a new holder for its report, instead of waiting
// until it has found the holder, heard of the new token and reported once more:
// up to 15 s with reports every 5 s. The answer is as good as a report under the
// new token: it was made after the worker had seen it, and the worker obeys no
// older one from then on. Should the request arrive late, it shows a token that
// was ours: never more than our right.
func (c *FirstContact) EnqueueProbe(machine *clusterstate.Machine) {

	if c.State.OwnedShard(machine) == nil || c.isQueued[machine] || machine.HasReported() || machine.IsLost() || machine.IsReleasing() || machine.Record().Addr == "" || c.prober == nil {
		return
	}
	delete(c.tokenSentAt, machine)
	c.isQueued[machine] = true
	c.probeQueue = append(c.probeQueue, machine)
	c.Run()
}

// Run speaks to those whose turn it is.
func (c *FirstContact) Run() {
	for len(c.pendingResponses) > 0 && c.reserveTurn() {
		answer := c.pendingResponses[0]
		c.pendingResponses = c.pendingResponses[1:]
		answer()
	}
	if len(c.pendingResponses) > 0 {
		return
	}
	for range len(c.probeQueue) {
		if c.recentProbes >= tuning.MaxConcurrentFirstContacts || c.recentProbes+c.slowProbes >= tuning.MaxOpenFirstContacts {
			return
		}
		machine := c.probeQueue[0]
		shard := c.State.OwnedShard(machine)
		if shard != nil && !c.Cache.HasReachedEpoch(shard) {
			return // until the watch has caught up
		}
		if shard == nil || machine.HasReported() || machine.IsLost() || !c.State.IsCurrentMachine(machine) {
			c.dequeueProbe()
			continue
		}
		if now := time.Now(); now.Sub(c.tokenSentAt[machine]) < tuning.HeartbeatAfterTokenDelay {
			// It was told the token and reports again by itself.
			c.probeQueue = append(c.probeQueue[1:], machine)
			c.runAfter(c.tokenSentAt[machine].Add(tuning.HeartbeatAfterTokenDelay).Sub(now))
			continue
		}
		if !c.reserveTurn() {
			return
		}
		c.dequeueProbe()
		c.sendProbe(machine, max(shard.Epoch(), machine.Revision()))
	}
}

func (c *FirstContact) dequeueProbe() {
	delete(c.isQueued, c.probeQueue[0])
	c.probeQueue = c.probeQueue[1:]
}

// reserveTurn tells whether the pace allows one more; if not, Go is called when it does.
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

func (c *FirstContact) runAfter(wait time.Duration) {
	due := time.Now().Add(wait)
	if c.timer != nil {
		if !due.Before(c.timerDueAt) {
			return
		}
		c.timer.Stop()
	}
	c.timerDueAt = due
	c.timer = c.mailbox.SendAfter(wait, func() {
		c.timer = nil
		c.Run()
	})
}

func (c *FirstContact) sendProbe(machine *clusterstate.Machine, fencingToken uint64) {
	count := &c.recentProbes // where this one is counted
	*count++
	late := c.mailbox.SendAfter(tuning.SlowFirstContactAfter, func() {
		if count == &c.recentProbes {
			c.recentProbes--
			c.slowProbes++
			count = &c.slowProbes
			c.Run()
		}
	})
	addr, agentEpoch := machine.Record().Addr, max(1, c.agentEpoch(machine))
	go func() {
		heartbeat, err := c.prober.Probe(c.mailbox.Context(), addr, fencingToken, agentEpoch)
		late.Stop()
		c.mailbox.Send(func() {
			*count--
			count = nil // should the timer have spoken meanwhile, it is too late
			if err == nil {
				c.probeAnswered(machine, heartbeat, fencingToken)
			} else {
				// Perhaps it was being returned when its old holder ended: the
				// machine list is asked at once, not after several reports.
				c.State.MarkProbeUnanswered(machine)
			}
			c.Run()
		})
	}()
}
