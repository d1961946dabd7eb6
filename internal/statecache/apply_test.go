package statecache_test

import (
	"slices"
	"testing"

	"cherrywall/internal/fake/harness"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/workerapi"
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

// A decision that waits for a revision must see all changes up to it. The revision of a commit of this controller
// does not count, since the watch may not have delivered earlier changes of others yet.
func TestWhenAppliedWaitsForWatch(t *testing.T) {
	h := harness.New(t, nil)
	h.Cache.ApplyEvents(nil, 5)
	var reached []uint64
	await := func(revision uint64) {
		h.Cache.WhenApplied(revision, func() { reached = append(reached, revision) })
	}
	await(5)
	await(8)
	await(7)
	h.WriteRecord(jobs.WorkerPrefix+"i-1", workerapi.Record{Shard: "n0"}, 9)
	if !slices.Equal(reached, []uint64{5}) {
		t.Errorf("reached %v with changes up to 5 applied", reached)
	}
	h.Cache.ApplyEvents(nil, 7)
	if !slices.Equal(reached, []uint64{5, 7}) {
		t.Errorf("reached %v with changes up to 7 applied", reached)
	}
	h.Cache.ApplyEvents(nil, 20)
	if !slices.Equal(reached, []uint64{5, 7, 8}) {
		t.Errorf("reached %v with changes up to 20 applied", reached)
	}
}
