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
	if m.Heir("n0") != "" || m.ToTake(now.Add(tuning.ColdWait), nobody) != nil {
		t.Error("somebody is the heir although nobody lives")
	}
	must(m.Lives("n1", LifeRecord(7), 3, now))
	if got := m.ToTake(now.Add(tuning.ColdWait), nobody); !slices.Equal(got, []string{"n0", "n1", "n2"}) {
		t.Errorf("alone it takes %v", got)
	}
	if m.AnotherLives() {
		t.Error("another lives")
	}
	must(m.Lives("n0", LifeRecord(9), 4, now))
	for _, id := range []string{"n0", "n1", "n2"} {
		_, err := m.Held(id, ShareRecord("n1", 7, nil, now), 5, now)
		must(err)
	}
	if m.Heir("n0") != "n0" || m.Heir("n2") != "n0" || len(m.Mine()) != 3 || m.ToTake(now.Add(tuning.ColdWait), nobody) != nil {
		t.Errorf("heirs %s and %s, %d held", m.Heir("n0"), m.Heir("n2"), len(m.Mine()))
	}
	if s, err := m.Held("n0", ShareRecord("n0", 9, nil, now), 4, now); s != nil || err != nil {
		t.Error("an older record was taken")
	}
	s, err := m.Held("n0", ShareRecord("n0", 9, nil, now), 6, now)
	must(err)
	if s.Mine() || s.Holder() != "n0" || s.Stamp() != 6 || m.Share("n0") != s {
		t.Errorf("%+v", s)
	}
	// A run before this one held it: not this one.
	s, err = m.Held("n1", ShareRecord("n1", 6, nil, now), 7, now)
	must(err)
	if s.Mine() || !slices.Equal(m.ToTake(now.Add(tuning.ColdWait), nobody), []string{"n1"}) {
		t.Errorf("a share of an earlier run: mine %v, to take %v", s.Mine(), m.ToTake(now.Add(tuning.ColdWait), nobody))
	}
	m.Ended("n0", 3) // of an earlier record
	if !m.IsLive("n0", 9) {
		t.Error("an old end was believed")
	}
	m.Ended("n0", 8)
	if m.IsLive("n0", 0) || m.Heir("n0") != "n1" {
		t.Error("dead, and yet it is the heir")
	}
	if _, err := m.Held("n0", []byte(`[]`), 9, now); err == nil {
		t.Error("a broken record was taken")
	}
}

// When all start together nobody takes another's share before that one had its chance; and
// a share that a third one holds is left to it until its home is back.
func TestNobodyTakesAnothersShareInItsFirstMoments(t *testing.T) {
	now := time.Now()
	m := New("n1", 7, []string{"n0", "n1", "n2"})
	for id, boot := range map[string]uint64{"n0": 1, "n1": 2, "n2": 3} {
		if _, err := m.Held(id, ShareRecord(id, boot, nil, now), 5, now); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.Lives("n1", LifeRecord(7), 6, now); err != nil {
		t.Fatal(err)
	}
	if got := m.ToTake(now, nobody); !slices.Equal(got, []string{"n1"}) || !m.Cold(now) {
		t.Errorf("at its start it takes %v", got)
	}
	now = now.Add(tuning.ColdWait)
	if got := m.ToTake(now, nobody); !slices.Equal(got, []string{"n0", "n1", "n2"}) || m.Cold(now) {
		t.Errorf("the others do not come, and it takes %v", got)
	}
	if err := m.Lives("n2", LifeRecord(9), 7, now); err != nil {
		t.Fatal(err)
	}
	if _, err := m.Held("n0", ShareRecord("n2", 9, nil, now), 8, now); err != nil {
		t.Fatal(err)
	}
	if got := m.ToTake(now, nobody); !slices.Equal(got, []string{"n1"}) {
		t.Errorf("it takes %v, of which n2 holds one well", got)
	}
}

// A controller that ends again and again does not drag its share along each time.
func TestAShareThatWentToAndFroStaysLongerEachTime(t *testing.T) {
	now := time.Now()
	m := New("n0", 7, []string{"n0", "n1", "n2"})
	if err := m.Lives("n1", LifeRecord(1), 1, now); err != nil {
		t.Fatal(err)
	}
	var s *Share
	var waits []time.Duration
	for i := range 12 {
		now = now.Add(4 * time.Second)
		stamp := uint64(2*i + 2)
		var err error
		if s, err = m.Held("n0", ShareRecord("n1", 1, s, now), stamp, now); err != nil {
			t.Fatal(err)
		}
		m.Ended("n0", stamp)
		if err := m.Lives("n0", LifeRecord(7), stamp, now); err != nil {
			t.Fatal(err)
		}
		back := time.Duration(0)
		for !slices.Contains(m.ToTake(now.Add(back), nobody), "n0") && back < time.Hour {
			back += time.Second
		}
		waits = append(waits, back)
	}
	if waits[0] != 0 || waits[2] != 0 || waits[3] != tuning.ReturnPause || waits[11] < 20*time.Second || waits[11] > tuning.ReturnPauseMost {
		t.Errorf("it waits for %v", waits)
	}
	if len(s.takings) != tuning.TakingsKept {
		t.Errorf("%d takings are recorded", len(s.takings))
	}
	// A share without a living holder does not wait.
	m.Ended("n1", 99)
	if got := m.ToTake(now, nobody); !slices.Contains(got, "n0") {
		t.Errorf("nobody holds it, and it takes %v", got)
	}
}
