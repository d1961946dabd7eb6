package completionbatch

import (
	"encoding/json"
	"testing"

	"cherrywall/internal/jobs"
)

// encodeEntries returns the stored form of a batch.
func encodeEntries(t *testing.T, entries ...string) json.RawMessage {
	t.Helper()
	raw, err := json.Marshal(entries)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func anyShard(string) bool { return true }

// The jobs of a batch are cleaned up one by one; the batch can be deleted after the last one.
func TestBatchIsCleanedUpJobByJob(t *testing.T) {
	index := New()
	firstBatch := index.OpenBatch("n0")
	if firstBatch.Key != jobs.CompletionBatchPrefix+"n0/1" || firstBatch.Entries != nil || firstBatch.Revision != 0 {
		t.Fatalf("first batch: %+v", firstBatch)
	}
	addedJobs, err := index.ApplyBatch(firstBatch.Key, encodeEntries(t, "wk-1/3", "wk-2"), 10)
	if err != nil || len(addedJobs) != 2 || addedJobs[0].Tasks != 3 {
		t.Fatalf("added %+v, %v", addedJobs, err)
	}
	addedJobs, _ = index.ApplyBatch(firstBatch.Key, encodeEntries(t, "wk-1/3", "wk-2", "wk-3/1"), 11)
	if len(addedJobs) != 1 || addedJobs[0].Ref != "wk-3" {
		t.Errorf("added by the second write: %+v", addedJobs)
	}
	if finalState, ok := index.FinalState("wk-1"); !ok || finalState.Tasks != 3 || finalState.Status != jobs.Done {
		t.Errorf("final state %+v, %v", finalState, ok)
	}
	if !index.ApplyJobRecord("wk-1", 4) || index.ApplyJobRecord("wk-9", 4) {
		t.Error("ApplyJobRecord does not report exactly the jobs in batches")
	}
	cleanup, ok := index.NextCleanup(5, anyShard)
	if !ok || cleanup.Shard != "n0" || cleanup.Revision != 11 || len(cleanup.Pending) != 1 || cleanup.Pending[0].RecordRevision != 4 {
		t.Errorf("cleanup %+v, %v", cleanup, ok)
	}
	index.ApplyJobRecordDeletion("wk-1", 12)
	if cleanup, ok := index.NextCleanup(5, anyShard); !ok || len(cleanup.Pending) > 0 {
		t.Errorf("cleanup after the record's deletion: %+v, %v", cleanup, ok)
	}
	index.MarkFull(firstBatch.Key)
	if nextBatch := index.OpenBatch("n0"); nextBatch.Key != jobs.CompletionBatchPrefix+"n0/2" {
		t.Errorf("batch after a full one: %s", nextBatch.Key)
	}
	index.RemoveBatch(firstBatch.Key, 11)
	if _, ok := index.FinalState("wk-1"); ok || index.JobCount() != 0 {
		t.Error("a removed batch still has jobs")
	}
}
