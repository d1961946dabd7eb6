package featuregate

import (
	"slices"
	"testing"
)

// The gate opens by durable marks of all, and neither hangs on who lives nor opens without
// one of them.
func TestTheGateOpensWithTheLastMark(t *testing.T) {
	g := New("n1", []string{"n2", "n0", "n1"})
	for i, c := range []struct {
		node, value string
		awaited     []string
	}{
		{"n1", string(EncodeVersionRecord()), []string{"n0", "n2"}},
		{"n0", `{"v":1}`, []string{"n0", "n2"}},
		{"x9", string(EncodeVersionRecord()), []string{"n0", "n2"}},
		{"n2", `{"v":9,"more":[1]}`, []string{"n0"}}, // a later version knows it, too
		{"n0", string(EncodeVersionRecord()), nil},
	} {
		if err := g.ApplyRecord(c.node, []byte(c.value), uint64(10+i)); err != nil {
			t.Fatal(err)
		}
		if got := g.PendingControllers(); !slices.Equal(got, c.awaited) || g.IsOpen() != (c.awaited == nil) {
			t.Errorf("after %s of %s: %v, open %v", c.value, c.node, got, g.IsOpen())
		}
	}
	if _, due := g.RecordDue(); due || g.VersionOf("n0") != Version || g.VersionOf("x1") != 1 {
		t.Error("the mark is due again, or versions are wrong")
	}
	if g.ApplyRecord("n0", []byte(`{"v":1}`), 3) != nil || !g.IsOpen() {
		t.Error("an old record closed it")
	}
	if g.ApplyRecord("n0", []byte(`[]`), 99) == nil {
		t.Error("a broken mark was taken")
	}
}
