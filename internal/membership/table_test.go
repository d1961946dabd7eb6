package membership

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"cherrywall/internal/tuning"
)

func noneFailed(string) bool { return false }

// applyLiveness applies the liveness record of an incarnation of a controller.
func applyLiveness(t *testing.T, table *Table, controller string, incarnation, revision uint64, now time.Time) {
	t.Helper()
	if err := table.ApplyLiveness(controller, EncodeLiveness(incarnation), revision, now); err != nil {
		t.Fatal(err)
	}
}

// applyShard applies a shard's ownership record.
func applyShard(t *testing.T, table *Table, id string, record json.RawMessage, revision uint64, now time.Time) *Shard {
	t.Helper()
	shard, err := table.ApplyShard(id, record, revision, now)
	if err != nil {
		t.Fatal(err)
	}
	return shard
}

func TestShardFailoverToSuccessorAndReturnHome(t *testing.T) {
	now := time.Now()
	afterGracePeriod := now.Add(tuning.StartupGracePeriod)
	table := New("n1", 7, []string{"n2", "n0", "n1"})
	if table.Successor("n0") != "" || table.ShardsToAcquire(afterGracePeriod, noneFailed) != nil {
		t.Error("there is a successor although no controller is live")
	}
	applyLiveness(t, table, "n1", 7, 3, now)
	if got := table.ShardsToAcquire(afterGracePeriod, noneFailed); !slices.Equal(got, []string{"n0", "n1", "n2"}) {
		t.Errorf("the only live controller acquires %v", got)
	}
	if table.HasLivePeer() {
		t.Error("another controller is live")
	}
	applyLiveness(t, table, "n0", 9, 4, now)
	for _, id := range []string{"n0", "n1", "n2"} {
		applyShard(t, table, id, EncodeShard("n1", 7, nil, now), 5, now)
	}
	if table.Successor("n0") != "n0" || table.Successor("n2") != "n0" || len(table.LocalShards()) != 3 || table.ShardsToAcquire(afterGracePeriod, noneFailed) != nil {
		t.Errorf("successors %s and %s, %d shards owned", table.Successor("n0"), table.Successor("n2"), len(table.LocalShards()))
	}
	if shard, err := table.ApplyShard("n0", EncodeShard("n0", 9, nil, now), 4, now); shard != nil || err != nil {
		t.Error("an older record was applied")
	}
	shard := applyShard(t, table, "n0", EncodeShard("n0", 9, nil, now), 6, now)
	if shard.IsLocal() || shard.Owner() != "n0" || shard.Epoch() != 6 || table.Shard("n0") != shard {
		t.Errorf("%+v", shard)
	}
	// The owner is an earlier incarnation of this controller, whose shard is not local.
	shard = applyShard(t, table, "n1", EncodeShard("n1", 6, nil, now), 7, now)
	if shard.IsLocal() || !slices.Equal(table.ShardsToAcquire(afterGracePeriod, noneFailed), []string{"n1"}) {
		t.Errorf("shard of an earlier incarnation: local %v, to acquire %v", shard.IsLocal(), table.ShardsToAcquire(afterGracePeriod, noneFailed))
	}
	table.RemoveLiveness("n0", 3) // older than the record
	if !table.IsLive("n0", 9) {
		t.Error("an outdated deletion was applied")
	}
	table.RemoveLiveness("n0", 8)
	if table.IsLive("n0", 0) || table.Successor("n0") != "n1" {
		t.Error("a dead controller is still the successor")
	}
	if _, err := table.ApplyShard("n0", []byte(`[]`), 9, now); err == nil {
		t.Error("a malformed record was applied")
	}
}

// When all controllers start together, none acquires the shard of another before the shard's home has
// had time to acquire it. A shard whose owner is live stays with that owner until the home is back.
func TestNoForeignShardAcquiredInStartupGracePeriod(t *testing.T) {
	now := time.Now()
	table := New("n1", 7, []string{"n0", "n1", "n2"})
	for id, incarnation := range map[string]uint64{"n0": 1, "n1": 2, "n2": 3} {
		applyShard(t, table, id, EncodeShard(id, incarnation, nil, now), 5, now)
	}
	applyLiveness(t, table, "n1", 7, 6, now)
	if got := table.ShardsToAcquire(now, noneFailed); !slices.Equal(got, []string{"n1"}) || !table.InStartupGrace(now) {
		t.Errorf("at its start n1 acquires %v", got)
	}
	now = now.Add(tuning.StartupGracePeriod)
	if got := table.ShardsToAcquire(now, noneFailed); !slices.Equal(got, []string{"n0", "n1", "n2"}) || table.InStartupGrace(now) {
		t.Errorf("the other controllers do not start, and n1 acquires %v", got)
	}
	applyLiveness(t, table, "n2", 9, 7, now)
	applyShard(t, table, "n0", EncodeShard("n2", 9, nil, now), 8, now)
	if got := table.ShardsToAcquire(now, noneFailed); !slices.Equal(got, []string{"n1"}) {
		t.Errorf("n1 acquires %v, although n2 is live and owns n0", got)
	}
}

// The shard of a controller that crashes again and again does not move at each crash and return.
func TestReturnDelayGrowsWithRepeatedFailover(t *testing.T) {
	now := time.Now()
	table := New("n0", 7, []string{"n0", "n1", "n2"})
	applyLiveness(t, table, "n1", 1, 1, now)
	var shard *Shard
	var delays []time.Duration
	for i := range 12 {
		now = now.Add(4 * time.Second)
		revision := uint64(2*i + 2)
		shard = applyShard(t, table, "n0", EncodeShard("n1", 1, shard, now), revision, now)
		table.RemoveLiveness("n0", revision)
		applyLiveness(t, table, "n0", 7, revision, now)
		delay := time.Duration(0)
		for !slices.Contains(table.ShardsToAcquire(now.Add(delay), noneFailed), "n0") && delay < time.Hour {
			delay += time.Second
		}
		delays = append(delays, delay)
	}
	if delays[0] != 0 || delays[2] != 0 || delays[3] != tuning.MinShardReturnDelay || delays[11] < 20*time.Second || delays[11] > tuning.MaxShardReturnDelay {
		t.Errorf("the shard returns after %v", delays)
	}
	if len(shard.acquisitions) != tuning.MaxRecordedAcquisitions {
		t.Errorf("%d acquisitions are recorded", len(shard.acquisitions))
	}
	// A shard without a live owner returns at once.
	table.RemoveLiveness("n1", 99)
	if got := table.ShardsToAcquire(now, noneFailed); !slices.Contains(got, "n0") {
		t.Errorf("shard n0 has no live owner, and only %v are acquired", got)
	}
}
