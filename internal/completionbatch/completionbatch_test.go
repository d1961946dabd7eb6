package completionbatch

import (
	"encoding/json"
	"testing"

	"cherrywall/internal/jobs"
)

func TestAPackIsTidiedJobByJobAndThenGoes(t *testing.T) {
	b := New()
	key, names, revision := b.OpenBatch("n0")
	if key != jobs.CompletionBatchPrefix+"n0/1" || names != nil || revision != 0 {
		t.Fatalf("the first pack: %s, %v, %d", key, names, revision)
	}
	pack := func(names ...string) json.RawMessage {
		raw, err := json.Marshal(names)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	fresh, err := b.ApplyBatch(key, pack("wk-1/3", "wk-2"), 10)
	if err != nil || len(fresh) != 2 || fresh[0].Tasks != 3 {
		t.Fatalf("%+v, %v", fresh, err)
	}
	if fresh, _ := b.ApplyBatch(key, pack("wk-1/3", "wk-2", "wk-3/1"), 11); len(fresh) != 1 || fresh[0].Ref != "wk-3" {
		t.Errorf("new in the second writing: %+v", fresh)
	}
	if f, ok := b.FinalState("wk-1"); !ok || f.Tasks != 3 || f.Status != jobs.Done {
		t.Errorf("%+v, %v", f, ok)
	}
	if !b.JobRecordSeen("wk-1", 4) || b.JobRecordSeen("wk-9", 4) {
		t.Error("records of packed jobs are mistaken")
	}
	all := func(string) bool { return true }
	if _, shard, revision, open, ok := b.NextCleanup(5, all); !ok || shard != "n0" || revision != 11 || len(open) != 1 || open[0].RecordRevision != 4 {
		t.Errorf("to tidy: %s, %d, %+v, %v", shard, revision, open, ok)
	}
	b.JobRecordDeleted("wk-1", 12)
	if _, _, _, open, ok := b.NextCleanup(5, all); !ok || len(open) > 0 {
		t.Errorf("after it: %+v, %v", open, ok)
	}
	b.MarkFull(key)
	if next, _, _ := b.OpenBatch("n0"); next != jobs.CompletionBatchPrefix+"n0/2" {
		t.Errorf("after a full one: %s", next)
	}
	b.RemoveBatch(key, 11)
	if _, ok := b.FinalState("wk-1"); ok || b.JobCount() != 0 {
		t.Error("a dropped pack is still told of")
	}
}
