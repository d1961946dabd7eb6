package mirror_test

import (
	"testing"

	"cherrywall/internal/fake/desk"
	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
)

// A drop that we made ourselves must not be undone by an older write that the
// watch delivers later.
func TestOlderNewsDoesNotBringARecordBack(t *testing.T) {
	d := desk.New(t, nil)
	rec := jobs.Record{Spec: jobs.Spec{Ref: "wk-1", Tasks: 1}, Free: []jobs.Span{{First: 0, N: 1}}}
	d.Wrote(jobs.JobKey("wk-1"), rec, 3)
	d.Mirror.Drop(jobs.JobKey("wk-1"), 9)
	d.Mirror.News([]state.Event{desk.Event(jobs.JobKey("wk-1"), rec, 6)}, 6)
	if d.Books.Job("wk-1") != nil {
		t.Error("a dropped job came back")
	}
}
