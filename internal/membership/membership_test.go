package membership

import (
	"slices"
	"testing"
	"time"

	"cherrywall/internal/tuning"
)

func nobody(string) bool { return false }

func TestSharesFallToTheNextThatLivesAndReturnHome(t *testing.T) {
	now := time.Now()
	m := New("n1", 7, []string{"n2", "n0", "n1"})
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	if m.Successor("n0") != "" || m.ShardsToAcquire(now.Add(tuning.StartupGracePeriod), nobody) != nil {
		t.Error("somebody is the heir although nobody lives")
	}
	must(m.ApplyLiveness("n1", EncodeLiveness(7), 3, now))
	if got := m.ShardsToAcquire(now.Add(tuning.StartupGracePeriod), nobody); !slices.Equal(got, []string{"n0", "n1", "n2"}) {
		t.Errorf("alone it takes %v", got)
	}
	if m.HasLivePeer() {
		t.Error("another lives")
	}
	must(m.ApplyLiveness("n0", EncodeLiveness(9), 4, now))
	for _, id := range []string{"n0", "n1", "n2"} {
		_, err := m.ApplyShard(id, EncodeShard("n1", 7, nil, now), 5, now)
		must(err)
	}
	if m.Successor("n0") != "n0" || m.Successor("n2") != "n0" || len(m.LocalShards()) != 3 || m.ShardsToAcquire(now.Add(tuning.StartupGracePeriod), nobody) != nil {
		t.Errorf("heirs %s and %s, %d held", m.Successor("n0"), m.Successor("n2"), len(m.LocalShards()))
	}
	if s, err := m.ApplyShard("n0", EncodeShard("n0", 9, nil, now), 4, now); s != nil || err != nil {
		t.Error("an older record was taken")
	}
	s, err := m.ApplyShard("n0", EncodeShard("n0", 9, nil, now), 6, now)
	must(err)
	if s.IsLocal() || s.Owner() != "n0" || s.Epoch() != 6 || m.Shard("n0") != s {
		t.Errorf("%+v", s)
	}
	// A run before this one held it: not this one.
	s, err = m.ApplyShard("n1", EncodeShard("n1", 6, nil, now), 7, now)
	must(err)
	if s.IsLocal() || !slices.Equal(m.ShardsToAcquire(now.Add(tuning.StartupGracePeriod), nobody), []string{"n1"}) {
		t.Errorf("a share of an earlier run: mine %v, to take %v", s.IsLocal(), m.ShardsToAcquire(now.Add(tuning.StartupGracePeriod), nobody))
	}
	m.RemoveLiveness("n0", 3) // of an earlier record
	if !m.IsLive("n0", 9) {
		t.Error("an old end was believed")
	}
	m.RemoveLiveness("n0", 8)
	if m.IsLive("n0", 0) || m.Successor("n0") != "n1" {
		t.Error("dead, and yet it is the heir")
	}
	if _, err := m.ApplyShard("n0", []byte(`[]`), 9, now); err == nil {
		t.Error("a broken record was taken")
	}
}

// When all start together nobody takes another's share before that one had its chance; and
// a share that a third one holds is left to it until its home is back.
func TestNobodyTakesAnothersShareInItsFirstMoments(t *testing.T) {
	now := time.Now()
	m := New("n1", 7, []string{"n0", "n1", "n2"})
	for id, boot := range map[string]uint64{"n0": 1, "n1": 2, "n2": 3} {
		if _, err := m.ApplyShard(id, EncodeShard(id, boot, nil, now), 5, now); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.ApplyLiveness("n1", EncodeLiveness(7), 6, now); err != nil {
		t.Fatal(err)
	}
	if got := m.ShardsToAcquire(now, nobody); !slices.Equal(got, []string{"n1"}) || !m.InStartupGrace(now) {
		t.Errorf("at its start it takes %v", got)
	}
	now = now.Add(tuning.StartupGracePeriod)
	if got := m.ShardsToAcquire(now, nobody); !slices.Equal(got, []string{"n0", "n1", "n2"}) || m.InStartupGrace(now) {
		t.Errorf("the others do not come, and it takes %v", got)
	}
	if err := m.ApplyLiveness("n2", EncodeLiveness(9), 7, now); err != nil {
		t.Fatal(err)
	}
	if _, err := m.ApplyShard("n0", EncodeShard("n2", 9, nil, now), 8, now); err != nil {
		t.Fatal(err)
	}
	if got := m.ShardsToAcquire(now, nobody); !slices.Equal(got, []string{"n1"}) {
		t.Errorf("it takes %v, of which n2 holds one well", got)
	}
}

// A controller that ends again and again does not drag its share along each time.
func TestAShareThatWentToAndFroStaysLongerEachTime(t *testing.T) {
	now := time.Now()
	m := New("n0", 7, []string{"n0", "n1", "n2"})
	if err := m.ApplyLiveness("n1", EncodeLiveness(1), 1, now); err != nil {
		t.Fatal(err)
	}
	var s *Shard
	var waits []time.Duration
	for i := range 12 {
		now = now.Add(4 * time.Second)
		stamp := uint64(2*i + 2)
		var err error
		if s, err = m.ApplyShard("n0", EncodeShard("n1", 1, s, now), stamp, now); err != nil {
			t.Fatal(err)
		}
		m.RemoveLiveness("n0", stamp)
		if err := m.ApplyLiveness("n0", EncodeLiveness(7), stamp, now); err != nil {
			t.Fatal(err)
		}
		back := time.Duration(0)
		for !slices.Contains(m.ShardsToAcquire(now.Add(back), nobody), "n0") && back < time.Hour {
			back += time.Second
		}
		waits = append(waits, back)
	}
	if waits[0] != 0 || waits[2] != 0 || waits[3] != tuning.MinShardReturnDelay || waits[11] < 20*time.Second || waits[11] > tuning.MaxShardReturnDelay {
		t.Errorf("it waits for %v", waits)
	}
	if len(s.acquisitions) != tuning.MaxRecordedAcquisitions {
		t.Errorf("%d takings are recorded", len(s.acquisitions))
	}
	// A share without a living holder does not wait.
	m.RemoveLiveness("n1", 99)
	if got := m.ShardsToAcquire(now, nobody); !slices.Contains(got, "n0") {
		t.Errorf("nobody holds it, and it takes %v", got)
	}
}
