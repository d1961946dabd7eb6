package controller

import (
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/cloud"
	"cherrywall/internal/scheduler"
	"cherrywall/internal/workerapi"
	"cherrywall/internal/workersession"
)

// The methods in this file handle input from the workers and the autoscaler.

// HandleHeartbeat handles a worker's heartbeat. The answer is sent to reply, which must have room for
// it.
func (c *Controller) HandleHeartbeat(heartbeat *workerapi.Heartbeat, reply chan workersession.HeartbeatReply) {
	receivedAt := time.Now()
	c.mailbox.Send(func() { c.sessions.HandleHeartbeat(heartbeat, receivedAt, reply) })
}

// SetMachineTypes sets the machine types that the cloud offers, and has the free capacity of all machines
// counted again.
func (c *Controller) SetMachineTypes(types []cloud.MachineType) {
	c.mailbox.Send(func() {
		c.machineTypes.SetCloudTypes(types)
		c.state.RecountAllMachines()
	})
}

// SetBootTimes sets the usual boot time of each machine type, in seconds. The autoscaler observes the
// boot times.
func (c *Controller) SetBootTimes(seconds map[string]float64) {
	c.mailbox.Send(func() { c.machineTypes.SetLearnedBootTimes(seconds, time.Now()) })
}

// Demand returns the waiting jobs and the existing machines, for the autoscaler. If the controller has
// ended, it returns the zero value, in which IsCurrent is false.
func (c *Controller) Demand() scheduler.Demand {
	demand, _ := actor.Ask(c.mailbox, func() scheduler.Demand { return c.scheduler.Demand(time.Now(), c.incarnation) })
	return demand
}
