package statecache_test

import (
	"testing"

	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// A drop that we made ourselves must not be undone by an older write that the
// watch delivers later.
func TestOlderNewsDoesNotBringARecordBack(t *testing.T) {
	d := harness.New(t, nil)
	rec := jobs.JobRecord{Spec: jobs.Spec{Ref: "wk-1", Tasks: 1}, Unclaimed: []jobs.TaskInterval{{First: 0, Count: 1}}}
	d.WriteRecord(jobs.JobKey("wk-1"), rec, 3)
	d.Cache.ApplyDelete(jobs.JobKey("wk-1"), 9)
	d.Cache.ApplyEvents([]kvstore.Event{harness.Event(jobs.JobKey("wk-1"), rec, 6)}, 6)
	if d.State.Job("wk-1") != nil {
		t.Error("a dropped job came back")
	}
}
