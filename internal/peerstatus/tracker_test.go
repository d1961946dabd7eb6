package peerstatus

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

func TestStoreOutageDistinguishedFromPartition(t *testing.T) {
	now := time.Now()
	tracker := New("n0", 7, []string{"n0", "n1", "n2"})
	if !tracker.IsStoreDownForAll(now) || tracker.IsCutOffFromStore(now, time.Minute) {
		t.Error("the controller counts as cut off although there was no heartbeat")
	}
	tracker.Observe(peer.Heartbeat{Node: "n1", Synced: true, StoreSilentFor: 20 * time.Second}, now)
	if !tracker.IsStoreDownForAll(now) || tracker.IsCutOffFromStore(now, 20*time.Second) {
		t.Error("the controller counts as cut off although the peer does not reach the store either")
	}
	tracker.Observe(peer.Heartbeat{Node: "n1", Synced: true}, now)
	tracker.Observe(peer.Heartbeat{Node: "stranger", Synced: true}, now)
	if tracker.IsStoreDownForAll(now) || !tracker.IsCutOffFromStore(now, 10*time.Second) || tracker.IsCutOffFromStore(now, time.Second) {
		t.Error("outage or partition judged wrongly although the peer reaches the store")
	}
	if later := now.Add(time.Minute); !tracker.IsStoreDownForAll(later) || tracker.IsCutOffFromStore(later, time.Minute) {
		t.Error("an old heartbeat still counts")
	}
}

func TestNewerOwnerNeedsLaterEpoch(t *testing.T) {
	now := time.Now()
	tracker := New("n0", 7, []string{"n1", "n2"})
	tracker.Observe(peer.Heartbeat{Node: "n1", Shards: []peer.Shard{{ID: "n0", Owner: "n1", Epoch: 7}}}, now)
	if owner, ok := tracker.NewerOwner("n0", 6); !ok || owner != "n1" {
		t.Error("a newer owner is not found")
	}
	if _, ok := tracker.NewerOwner("n0", 7); ok {
		t.Error("an owner under the same epoch is not newer")
	}
}

// A statement of a peer is as old as this controller's own heartbeat that the peer had received when it made the
// statement, however late the statement arrives.
func TestStoreIsUnreachableAsOfObservedHeartbeat(t *testing.T) {
	const silentFor, appliedRevision = time.Second, 50
	synctest.Test(t, func(t *testing.T) {
		tracker := New("n0", 7, []string{"n0", "n1", "n2"})
		time.Sleep(time.Hour)
		sentAt := time.Now()
		madeAtMicros := tracker.RecordMade(sentAt)
		time.Sleep(tuning.MaxStartKnowledgeAge) // the heartbeats of the peers were held on their way
		valid := peer.Heartbeat{
			Observed:                []peer.ObservedHeartbeat{{Node: "n2", Incarnation: 7, MadeAtMicros: 1}, {Node: "n0", Incarnation: 7, MadeAtMicros: madeAtMicros}},
			StoreSilentFor:          silentFor,
			CancellationsKnownAfter: appliedRevision,
		}
		observe := func(node string, heartbeat peer.Heartbeat) time.Time {
			heartbeat.Node = node
			tracker.Observe(heartbeat, time.Now())
			return tracker.StoreUnreachableAsOf(time.Now(), silentFor, appliedRevision)
		}
		if asOf := observe("n1", valid); !asOf.IsZero() {
			t.Errorf("%v although n2 has said nothing", asOf)
		}
		if asOf := observe("n2", valid); !asOf.Equal(sentAt) {
			t.Errorf("%v, want the time %v at which the observed heartbeat was sent", asOf, sentAt)
		}
		for name, change := range map[string]func(heartbeat *peer.Heartbeat){
			"the peer reaches the store":   func(heartbeat *peer.Heartbeat) { heartbeat.StoreSilentFor = silentFor - 1 },
			"cancellations may be missing": func(heartbeat *peer.Heartbeat) { heartbeat.CancellationsKnownAfter++ },
			"nothing was observed":         func(heartbeat *peer.Heartbeat) { heartbeat.Observed = nil },
			"an earlier run was observed": func(heartbeat *peer.Heartbeat) {
				heartbeat.Observed = []peer.ObservedHeartbeat{{Node: "n0", Incarnation: 6, MadeAtMicros: madeAtMicros}}
			},
		} {
			heartbeat := valid
			change(&heartbeat)
			if asOf := observe("n2", heartbeat); !asOf.IsZero() {
				t.Errorf("%s: %v", name, asOf)
			}
		}
		time.Sleep(time.Millisecond)
		tracker.RecordMade(time.Now())
		if asOf := observe("n2", valid); !asOf.IsZero() {
			t.Errorf("%v, although the observed heartbeat is too old to be known", asOf)
		}
	})
}

// A heartbeat names the latest heartbeat of each other controller from which one was received.
func TestObservedHeartbeatsAreTheLatest(t *testing.T) {
	tracker := New("n0", 7, []string{"n0", "n1", "n2"})
	for _, madeAtMicros := range []uint64{3, 9} {
		tracker.Observe(peer.Heartbeat{Node: "n2", Incarnation: 4, MadeAtMicros: madeAtMicros}, time.Now())
	}
	want := []peer.ObservedHeartbeat{{Node: "n2", Incarnation: 4, MadeAtMicros: 9}}
	if observed := tracker.ObservedHeartbeats(); !slices.Equal(observed, want) {
		t.Errorf("observed %v, want %v", observed, want)
	}
}
