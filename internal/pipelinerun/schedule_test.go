package pipelinerun_test

import (
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/jobs"
)

// checkRunCount checks how many runs exist, including the finished ones.
func (c *testCluster) checkRunCount(want int, when string) {
	c.t.Helper()
	count := len(c.Store.Keys(jobs.OpaquePrefix+"final/")) + len(c.Store.Keys(jobs.OpaquePrefix+"run/"))
	if count != want {
		c.t.Errorf("%d runs %s, want %d", count, when, want)
	}
}

// A schedule starts one run for each of its times, whichever controller leads it. For the times
// that were missed while the store was down it starts only one run.
func TestScheduleStartsOneRunPerTimeDespiteOutageAndFailover(t *testing.T) {
	const file = fileHeader + "a: {stage: one}\n"
	runScenario(t, func(t *testing.T, c *testCluster) { // the simulated time starts on 2000-01-01 at 00:00:08 UTC
		// With six spare machines in each shard, no idle machine is released.
		if err := c.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 6 }); err != nil {
			t.Fatal(err)
		}
		view, response := c.leader("n1").SetSchedule("lamps", "*/2 * * * *", "Europe/Zurich", []byte(file), parsePlan(t, file))
		if response.Code != 200 || view.NextAtMS != time.Date(2000, 1, 1, 0, 2, 0, 0, time.UTC).UnixMilli() {
			t.Fatalf("%+v %+v", view, response)
		}
		time.Sleep(4*time.Minute + 30*time.Second)
		c.checkRunCount(2, "after two times")
		if t.Failed() {
			t.FailNow()
		}
		c.Store.SetOutage(true)
		time.Sleep(9 * time.Minute) // the times 6, 8, 10 and 12 minutes after midnight are missed
		c.Store.SetOutage(false)
		for range 3 { // the first machines were removed, since they missed heartbeats for too long
			c.AddMachine("b", false)
		}
		time.Sleep(20 * time.Second) // the time is 00:13:58
		c.checkRunCount(3, "after an outage over four times")
		c.CrashController("n1") // the controller that led the schedule
		time.Sleep(9 * time.Second)
		c.StartController("n1")
		time.Sleep(time.Minute)
		c.checkRunCount(4, "after the leader's crash")
		all, _ := c.leader("n2").Schedules()
		if len(all) != 1 || all[0].NextAtMS != time.Date(2000, 1, 1, 0, 16, 0, 0, time.UTC).UnixMilli() {
			t.Errorf("schedules after the leader's crash: %+v", all)
		}
		c.awaitSuccess("n0", all[0].LastRun, time.Minute)
		if response := c.leader("n2").RemoveSchedule("lamps"); response.Code != 200 {
			t.Errorf("response to the removal of the schedule: %+v", response)
		}
		time.Sleep(3 * time.Minute)
		c.checkRunCount(4, "after the schedule was removed")
	})
}
