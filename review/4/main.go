//go:build review

// Command 4 plays the case of claim.txt: a machine stops that ran the second task of a job whose first task is done.
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
	// In dahab-rack one of the two machines has room. Those of the other zones have more than enough.
	if !c.StartAll(
		standin2.NewFiller(1, standin2.Zones[0], 1, 15),
		standin2.NewFiller(2, standin2.Zones[1], 1, 2),
		standin2.NewFiller(3, standin2.Zones[2], 1, 2),
	) {
		return standin2.NotRun
	}
	job := standin2.NewJob("wk-000010", "dawn-confirm", "sweep", 2, 4, 2, 30)
	first, second := standin2.Task(job, 0), standin2.Task(job, 1)
	// The load balancer may pick any node. This one has a machine with room for both tasks.
	if !c.Submit(0, job) || !standin2.Until(15*time.Second, func() bool { return c.IsDone(first) && c.Runs(second) }) {
		return standin2.NotRun
	}
	time.Sleep(3 * time.Second) // the end of the first task is reported
	if c.Trouble {
		c.Stop(c.OnMachines(second)[0])
		c.WaitForLease()
	}
	return c.CheckWait(job, func(standin2.Room) bool { return true }, second)
}
