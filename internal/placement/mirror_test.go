package placement

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
	"cherrywall/internal/worker"
)

func quiet(t *testing.T) *Actor {
	t.Helper()
	cfg := &config.Config{Node: "n0", Zone: "a", Others: []config.Peer{{Node: "n1", Zone: "b"}}}
	cfg.Cluster.Workers.CancelS, cfg.Cluster.Workers.LeaseS = 30, 10
	return New(cfg, nil, nil, 7, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// A controller that took a share over applied its own write before the watch
// had told it of a worker recorded just before: it counted the share as fully
// heard, and would have started that worker's tasks a second time.
func TestATakenShareIsNotSettledBeforeTheWatchHasPassedIt(t *testing.T) {
	a := quiet(t)
	a.applyNews(nil, 5)
	a.applyWrite(jobs.SharePrefix+"n0", encode(shareEntry{Holder: "n0", Boot: 7}), 10)
	s := a.shares["n0"]
	if !s.mine {
		t.Fatal("the share is not ours")
	}
	a.settle(s, time.Now())
	if s.settled {
		t.Fatal("settled while the watch is behind the share's record")
	}
	rec := worker.Record{Share: "n0", Build: "m4", Zone: "a"}
	a.applyNews([]state.Event{{Key: jobs.WorkerPrefix + "i-1", Value: encode(rec), Stamp: 8}}, 10)
	a.settle(s, time.Now())
	if s.settled {
		t.Fatal("settled before a recorded worker was heard")
	}
	a.workers["i-1"].heard = true
	a.settle(s, time.Now())
	if !s.settled {
		t.Fatal("not settled although every worker was heard")
	}
}

// A drop that we made ourselves must not be undone by an older write that the
// watch delivers later.
func TestOlderNewsDoesNotBringARecordBack(t *testing.T) {
	a := quiet(t)
	rec := jobs.Record{Spec: jobs.Spec{Ref: "wk-1", Tasks: 1}, Free: []jobs.Span{{First: 0, N: 1}}}
	a.applyWrite(jobs.JobKey("wk-1"), encode(rec), 3)
	a.applyDrop(jobs.JobKey("wk-1"), 9)
	a.applyNews([]state.Event{{Key: jobs.JobKey("wk-1"), Value: encode(rec), Stamp: 6}}, 6)
	if a.jobs["wk-1"] != nil {
		t.Error("a dropped job came back")
	}
}
