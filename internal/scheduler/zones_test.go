package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// The demand names the zones in which the unclaimed tasks of an array may not run, given its claimed tasks.
func TestDemandNamesZonesOfArrays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newShard(t, "a", "b")
		for ref, spec := range map[string]jobs.Spec{"wk-1": {Spread: true}, "wk-2": {OneZone: true}, "wk-3": {}} {
			spec.Ref, spec.Kind, spec.Urgency, spec.Tasks, spec.CPU = ref, jobs.Array, "normal", 4, 1
			h.AddJob(spec, 2, 5)
			h.WriteRecord(jobs.RangeKey(ref, 0), jobs.RangeRecord{Shard: "n1", Count: 2, Zone: "a"}, 5)
		}
		time.Sleep(tuning.ScaleOutDelay)
		allowed := map[string][2]bool{"wk-1": {false, true}, "wk-2": {true, false}, "wk-3": {true, true}} // in zones a and b
		demand := h.Scheduler.Demand(time.Now(), 1)
		if len(demand.Jobs) != len(allowed) {
			t.Fatalf("%d jobs", len(demand.Jobs))
		}
		for _, job := range demand.Jobs {
			if got := [2]bool{job.Zones.Allow("a"), job.Zones.Allow("b")}; got != allowed[job.Record.Ref] {
				t.Errorf("%s: %v, zones %+v", job.Record.Ref, got, job.Zones)
			}
		}
	})
}
