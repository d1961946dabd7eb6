//go:build review

// Command 6 plays the case of claim.txt: a machine fails every task for eight seconds.
package main

import (
	"os"
	"time"

	"cherrywall/review/standin2"
)

// sickFor is how long the machine fails every task that it starts.
const sickFor = 8 * time.Second

func main() {
	settings := standin2.SmallDeployment()
	settings.Types[0].CapacityByZone = map[string]int{standin2.Zones[0]: 4} // more machines can be rented
	standin2.Run(os.Args[1], settings, play)
}

func play(c *standin2.Case) int {
	c.AddSixMachines()
	time.Sleep(4 * time.Second) // all machines report; otherwise one more may be rented for the fillers
	// In dahab-rack one of the two machines has room.
	full, small := standin2.NewFiller(1, standin2.Zones[0], 1, 15), standin2.NewFiller(2, standin2.Zones[0], 1, 2)
	if !c.StartAll(full, small) {
		return standin2.NotRun
	}
	host := c.OnMachines(standin2.Task(small, 0))[0]
	if c.Trouble {
		c.SetSick(host, true)
	}
	job := standin2.NewJob("wk-000010", "keeper-sync", "group", 1, 7, 10)
	job.Urgency, job.OneZone, job.Valley = "high", true, &standin2.Zones[0]
	task := standin2.Task(job, 0)
	if !c.Submit(0, job) || !standin2.Until(15*time.Second, func() bool { return len(c.Starts(task)) > 0 }) {
		return standin2.NotRun
	}
	if c.Trouble {
		time.Sleep(sickFor)
		c.SetSick(host, false)
	}
	return c.CheckWait(job, func(room standin2.Room) bool { return room.Zone == standin2.Zones[0] }, task)
}
