//go:build review

// Command 5 plays the case of claim.txt: the claim of an urgent job gets no answer, and its user cancels the job.
package main

import (
	"os"
	"strings"
	"sync/atomic"
	"time"

	"cherrywall/review/standin2"
)

// lateBy is how late the transaction is carried out.
const lateBy = 4 * time.Second

func main() {
	standin2.Run(os.Args[1], standin2.SmallDeployment(), play)
}

func play(c *standin2.Case) int {
	c.AddSixMachines()
	// One machine of dahab-rack runs a task that can't be preempted, the other one a long task of normal priority.
	fixed := standin2.NewFiller(1, standin2.Zones[0], 1, 5)
	fixed.Kit = "img-02"
	long := standin2.NewJob("wk-000002", "roster-build", "sweep", 1, 12, 600)
	long.Valley = &standin2.Zones[0]
	if !c.StartAll(fixed) || !c.StartAll(long) {
		return standin2.NotRun
	}
	// The urgent job fits only where the long task is.
	urgent := standin2.NewJob("wk-000010", "dawn-confirm", "sweep", 1, 14, 20)
	urgent.Urgency, urgent.Valley = "high", &standin2.Zones[0]
	var isHeld atomic.Bool
	if c.Trouble {
		c.LateWrites("lantern-0", lateBy, func(body string) bool {
			isClaim := strings.Contains(body, `"key":"cw/job/wk-000010"`) && !strings.Contains(body, `"key":"cw/job/wk-000010","stamp":0`)
			if isClaim {
				isHeld.Store(true)
			}
			return isClaim
		})
	}
	if !c.Submit(0, urgent) {
		return standin2.NotRun
	}
	if c.Trouble && !standin2.Until(2*time.Second, isHeld.Load) {
		return standin2.NotRun
	}
	if c.Withdraw(1, urgent.Ref).Status != "aborted" {
		return standin2.NotRun
	}
	time.Sleep(lateBy + 2*time.Second)
	c.LateWrites("", 0, nil)
	job := standin2.NewJob("wk-000020", "roster-build", "sweep", 1, 8, 10)
	if !c.Submit(0, job) {
		return standin2.NotRun
	}
	return c.CheckWait(job, func(standin2.Room) bool { return true }, standin2.Task(job, 0))
}
