package featuregate

import (
	"slices"
	"testing"
)

// The gate opens only after all controllers, whether live or not, have durably recorded this version or
// a later one.
func TestGateOpensWithLastVersionRecord(t *testing.T) {
	g := New("n1", []string{"n2", "n0", "n1"})
	for i, step := range []struct {
		node, value string
		pending     []string
	}{
		{"n1", string(EncodeVersionRecord()), []string{"n0", "n2"}},
		{"n0", `{"v":1}`, []string{"n0", "n2"}},
		{"x9", string(EncodeVersionRecord()), []string{"n0", "n2"}},
		{"n2", `{"v":9,"more":[1]}`, []string{"n0"}}, // a later version
		{"n0", string(EncodeVersionRecord()), nil},
	} {
		if err := g.ApplyRecord(step.node, []byte(step.value), uint64(10+i)); err != nil {
			t.Fatal(err)
		}
		if pendingControllers := g.PendingControllers(Latest); !slices.Equal(pendingControllers, step.pending) || g.IsOpen(Latest) != (step.pending == nil) {
			t.Errorf("after %s of %s: %v, open %v", step.value, step.node, pendingControllers, g.IsOpen(Latest))
		}
	}
	if _, isDue := g.VersionRecordDue(); isDue || g.VersionOf("n0") != Version || g.VersionOf("x1") != 1 {
		t.Error("the version record is still due, or a version is wrong")
	}
	if g.ApplyRecord("n0", []byte(`{"v":1}`), 3) != nil || !g.IsOpen(Latest) {
		t.Error("an old record closed the gate")
	}
	if g.ApplyRecord("n0", []byte(`[]`), 99) == nil {
		t.Error("an invalid record was accepted")
	}
}
