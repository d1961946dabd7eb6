package claims_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/fake/harness"
	"cherrywall/internal/featuregate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// smallJob is a test fixture: the job wk-1 of three tasks, which the shard n0 has claimed as a whole in
// the job's record. Its first task runs on the machine, the second is done, and the third has lost its
// machine.
type smallJob struct {
	*harness.Harness
	job       *clusterstate.Job
	taskRange *clusterstate.TaskRange
}

func newSmallJob(t *testing.T) *smallJob {
	t.Helper()
	h, machine := newShardWithMachine(t)
	for _, node := range []string{harness.Self, harness.OtherNode} {
		h.Cache.ApplyWrite(jobs.VersionPrefix+node, featuregate.EncodeVersionRecord(), 6)
	}
	record := jobs.JobRecord{
		Spec:       jobs.Spec{Ref: "wk-1", Kind: jobs.Array, Urgency: "normal", Tasks: 3, CPU: 1},
		WholeClaim: &jobs.WholeJobClaim{Shard: "n0", Epoch: 5, Count: 3},
	}
	h.WriteRecord(jobs.JobKey("wk-1"), record, 7)
	job := h.State.Job("wk-1")
	taskRange := job.TaskRange(0)
	for i := range 2 {
		h.State.MarkStartSent(h.State.Place(taskRange, i, machine, 1))
	}
	h.State.RemoveExited(taskRange.Assignment(1))
	h.State.MarkDone(taskRange, 1, taskRange.Assignment(1))
	return &smallJob{h, job, taskRange}
}

// check checks that the tasks are as the fixture describes them, in a claim of the given form.
func (s *smallJob) check(t *testing.T, isInline bool) {
	t.Helper()
	taskRange := s.job.TaskRange(0)
	if taskRange != s.taskRange || taskRange.IsInline() != isInline {
		t.Fatalf("the claim of the job was dropped or has the wrong form: %+v", taskRange)
	}
	running := taskRange.Assignment(0)
	if running == nil || running.Status().Stopping || running.Job() != s.job {
		t.Errorf("assignment of the running task: %+v", running)
	}
	if !taskRange.RecordWithDone().Done.Has(1) || taskRange.CountTasks(clusterstate.TaskReady) != 1 {
		t.Errorf("done: %+v, ready: %d", taskRange.RecordWithDone(), taskRange.CountTasks(clusterstate.TaskReady))
	}
}

// movedEvents returns the events of the write that moves the claim to a range record.
func (s *smallJob) movedEvents(revision uint64) []kvstore.Event {
	record := *s.job.Record()
	record.WholeClaim = nil
	return []kvstore.Event{
		harness.Event(jobs.JobKey("wk-1"), record, revision),
		harness.Event(jobs.RangeKey("wk-1", 0), s.taskRange.RecordWithDone(), revision),
	}
}

// When the claim of a whole job moves to a range record, its tasks stay as they are, in whatever order the
// watch delivers the two records of that write, at the shard's owner and at other controllers.
func TestMovedClaimKeepsTasksInAnyEventOrder(t *testing.T) {
	for _, isReversed := range []bool{false, true} {
		t.Run(fmt.Sprint("owner, range first: ", isReversed), func(t *testing.T) {
			s := newSmallJob(t)
			events := s.movedEvents(20)
			if isReversed {
				slices.Reverse(events)
			}
			s.Cache.ApplyEvents(events, 20)
			s.check(t, false)
			if count, _ := s.taskRange.UnrecordedDone(); count != 0 || s.taskRange.Revision() != 20 {
				t.Errorf("%d done tasks are not recorded, the range has revision %d", count, s.taskRange.Revision())
			}
		})
		t.Run(fmt.Sprint("other controller, range first: ", isReversed), func(t *testing.T) {
			s := newSmallJob(t)
			events := s.movedEvents(20)
			if isReversed {
				slices.Reverse(events)
			}
			s.SetOwner("n0", harness.OtherNode, 19)
			s.Cache.ApplyEvents(events, 20)
			s.SetOwner("n0", harness.Self, 21)
			taskRange, _ := s.State.FindTask("wk-1", 2)
			if taskRange == nil || taskRange.IsInline() || taskRange.TaskState(1) != clusterstate.TaskFinished {
				t.Errorf("the claim was dropped: %+v", taskRange)
			}
		})
	}
}

// A move without an answer may be applied later. Until it is answered, the job is not listed in a
// completion batch, which changes nothing that the move depends on.
func TestUnansweredMoveKeepsJobOutOfBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSmallJob(t)
		s.Claims.Tick(time.Now())
		time.Sleep(tuning.UnclaimAfter)
		s.Claims.Tick(time.Now())
		synctest.Wait()
		s.RunNext() // no answer
		for _, i := range []int{0, 2} {
			s.State.MarkDone(s.taskRange, i, nil)
		}
		time.Sleep(tuning.CompletionBatchInterval)
		s.Claims.Tick(time.Now())
		synctest.Wait()
		if transactions := s.Store.Transactions(); len(transactions) != 1 || !s.job.InTransaction() {
			t.Errorf("%d transactions, of 1", len(transactions))
		}
		s.Store.AcceptFrom(20)
		for s.job.InTransaction() { // the move is repeated and answered
			s.RunNext()
		}
		if s.taskRange.IsInline() || s.taskRange.Revision() != 20 || !s.taskRange.IsComplete() {
			t.Errorf("after the answer: %+v", s.taskRange)
		}
	})
}

// Every condition of a move is needed: the job's record, the shard's epoch, and no range record.
func TestMoveOfClaimHasConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSmallJob(t)
		s.Claims.Tick(time.Now())
		time.Sleep(tuning.UnclaimAfter - time.Second)
		s.Claims.Tick(time.Now())
		synctest.Wait()
		if len(s.Store.Transactions()) > 0 {
			t.Errorf("written too early: %+v", s.Store.Transactions())
		}
		time.Sleep(time.Second)
		s.Claims.Tick(time.Now())
		synctest.Wait()
		transactions := s.Store.Transactions()
		if len(transactions) != 1 {
			t.Fatalf("%d transactions", len(transactions))
		}
		want := []kvstore.Condition{{Key: jobs.JobKey("wk-1"), Revision: 7}, {Key: jobs.ShardPrefix + "n0", Revision: 5}, {Key: jobs.RangeKey("wk-1", 0)}}
		if txn := transactions[0]; !slices.Equal(txn.Conditions, want) || strings.Contains(string(txn.Writes[0].Value), `"own"`) {
			t.Errorf("transaction %+v", txn)
		}
		s.check(t, true)
	})
}
