package fake

import (
	"math/rand/v2"
	"time"

	"cherrywall/internal/workerapi"
)

// minCommandCopyDelay is the least time after which the copy of a request to a worker arrives.
const minCommandCopyDelay = 100 * time.Millisecond

// commandCopies are the settings of the late copies of requests to workers, and the number of copies that
// arrived so far.
type commandCopies struct {
	rnd              *rand.Rand // nil before CopyCommands is called: no request is copied
	includeResponses bool
	maxJitter        time.Duration
	count            int
	byVerb           map[workerapi.Verb]int // number of commands in the copies
}

// CopyCommands makes a copy of each direct request that a worker has answered arrive there again, after 0.1 s
// and a random time below maxJitter. If includeResponses is set, which is a mutation, the responses to heartbeats
// are copied, too, as if their commands had been sent in requests. The counts of CommandCopyCounts begin anew.
func (c *Cluster) CopyCommands(rnd *rand.Rand, maxJitter time.Duration, includeResponses bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commandCopies = commandCopies{rnd: rnd, maxJitter: maxJitter, includeResponses: includeResponses, byVerb: map[workerapi.Verb]int{}}
}

// CommandCopyCounts returns how many copies of requests have arrived at workers, and how many start and stop
// commands these contained.
func (c *Cluster) CommandCopyCounts() (requests, starts, stops int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	copies := c.commandCopies
	return copies.count, copies.byVerb[workerapi.VerbStart], copies.byVerb[workerapi.VerbStop]
}

// copyRequest makes a copy of a direct request arrive at a machine later. The lock must be held.
func (c *Cluster) copyRequest(host string, request workerapi.CommandRequest) {
	copies := &c.commandCopies
	if copies.rnd == nil {
		return
	}
	delay := minCommandCopyDelay + time.Duration(copies.rnd.Int64N(int64(copies.maxJitter)))
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		worker := c.workers[host]
		if worker == nil || c.IsInboundBlocked(host) || c.ctx.Err() != nil {
			return
		}
		c.commandCopies.count++
		for _, command := range request.Commands {
			c.commandCopies.byVerb[command.Verb]++
		}
		worker.Execute(request) // no controller waits for the response
	})
}

// copyResponse makes the commands of the response to a heartbeat arrive again as a direct request, if
// CopyCommands was called with includeResponses. The lock must be held.
func (c *Cluster) copyResponse(host string, agentEpoch uint64, response workerapi.HeartbeatResponse) {
	if c.commandCopies.includeResponses && len(response.Commands) > 0 {
		c.copyRequest(host, workerapi.CommandRequest{FencingToken: response.FencingToken, AgentEpoch: agentEpoch, Commands: response.Commands})
	}
}

// RestartMachine replaces a machine by one with the same name, whose agent knows nothing: as if it had been
// switched off and on within an instant.
func (c *Cluster) RestartMachine(host string) {
	c.mu.Lock()
	worker := c.workers[host]
	c.mu.Unlock()
	if worker == nil {
		return
	}
	worker.stop()
	c.startMachine(host, worker.MachineType, worker.Zone, worker.Spot)
}
