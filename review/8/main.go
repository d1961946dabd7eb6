//go:build review

// Command 8 plays the case of claim.txt: a job that is spread over zones loses its machine in one zone after its tasks
// in the other one are done.
package main

import (
	"os"
	"time"

	"cherrywall/review/standin2"
)

func main() {
	standin2.Run(os.Args[1], standin2.SmallDeployment(), play)
}

func play(c *standin2.Case) int {
	c.AddSixMachines()
	// Dahab-rack and katrin-rack have one machine each with room, cairo-rack has none.
	if !c.StartAll(
		standin2.NewFiller(1, standin2.Zones[0], 1, 15), standin2.NewFiller(2, standin2.Zones[0], 1, 2),
		standin2.NewFiller(3, standin2.Zones[1], 1, 15),
		standin2.NewFiller(4, standin2.Zones[2], 2, 15),
	) {
		return standin2.NotRun
	}
	job := standin2.NewJob("wk-000010", "roster-build", "sweep", 4, 3, 60)
	job.Spread = true
	if !c.Submit(0, job) || !standin2.Until(startLimit, func() bool { return c.AllRun(job) }) {
		return standin2.NotRun
	}
	time.Sleep(time.Second)
	var lasting []string
	lost := ""
	for i := range job.Shifts {
		task := standin2.Task(job, i)
		host := c.OnMachines(task)[0]
		if c.ZoneOf(host) == standin2.Zones[1] {
			lasting, lost = append(lasting, task), host
		} else {
			c.Finish(task)
		}
	}
	if len(lasting) != 2 {
		return standin2.NotRun
	}
	time.Sleep(4 * time.Second) // the end of the tasks in dahab-rack is reported and recorded
	if c.Trouble {
		c.Stop(lost)
		c.WaitForLease()
	}
	return c.CheckWait(job, func(room standin2.Room) bool { return room.Zone == standin2.Zones[0] }, lasting...)
}

// startLimit is how long the tasks may take to start.
const startLimit = 25 * time.Second
