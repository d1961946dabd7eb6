package statecache_test

import (
	"testing"

	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// A deletion that this controller committed must not be undone by an older write that the watch
// delivers later.
func TestOlderEventDoesNotRestoreDeletedRecord(t *testing.T) {
	h := harness.New(t, nil)
	record := jobs.JobRecord{Spec: jobs.Spec{Ref: "wk-1", Tasks: 1}, Unclaimed: []jobs.TaskInterval{{First: 0, Count: 1}}}
	h.WriteRecord(jobs.JobKey("wk-1"), record, 3)
	h.Cache.ApplyDelete(jobs.JobKey("wk-1"), 9)
	h.Cache.ApplyEvents([]kvstore.Event{harness.Event(jobs.JobKey("wk-1"), record, 6)}, 6)
	if h.State.Job("wk-1") != nil {
		t.Error("a deleted job is back")
	}
}
