package capacity

import (
	"math/rand/v2"
	"testing"
)

// The paper's example (3.2.2): two empty machines of 100 units, shapes of 20,
// 50 and 60 units. Two large buffers leave no room for a medium task, six
// small ones leave one.
func TestThePapersExample(t *testing.T) {
	small, medium, large := Vec{CPU: 20}, Vec{CPU: 50}, Vec{CPU: 60}
	tab := NewTable()
	for _, h := range []string{"x", "y"} {
		tab.Set(h, Group{Zone: "a"}, Vec{CPU: 100})
	}
	any := func(Group) bool { return true }
	if n := tab.Allocable(medium, any, []Buffer{{large, 2}}); n != 0 {
		t.Errorf("with two large buffers %d fit", n)
	}
	if n := tab.Allocable(medium, any, []Buffer{{small, 6}}); n != 1 {
		t.Errorf("with six small buffers %d fit", n)
	}
}

func TestConversionRoundsUpAndCoversTheEmptyCase(t *testing.T) {
	if n := Convert(3, 2, Buffer{X: 1}, Vec{CPU: 1}); n != 2 {
		t.Errorf("3/2 became %d", n)
	}
	b := Buffer{Shape: Vec{CPU: 4, Mem: 30}, X: 2}
	if n := Convert(9, 0, b, Vec{CPU: 2, Mem: 10}); n != 6 {
		t.Errorf("the largest ratio of a shape that fits nowhere gave %d", n)
	}
}

// Property: counts kept incrementally equal counts made anew, and one more
// unit of buffer never makes more room.
func TestCountsStayTrueUnderChange(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	any := func(Group) bool { return true }
	shapes := []Vec{{CPU: 1, Mem: 3.6}, {CPU: 7, Mem: 26}, {CPU: 2, GPU: 1, Mem: 8}}
	tab := NewTable()
	rooms := map[string]Vec{}
	for range 2000 {
		h := string(rune('a' + rnd.IntN(8)))
		if rnd.IntN(4) == 0 {
			tab.Remove(h)
			delete(rooms, h)
		} else {
			rooms[h] = Vec{float64(rnd.IntN(17)), float64(rnd.IntN(3)), float64(rnd.IntN(65))}
			tab.Set(h, Group{Zone: h}, rooms[h])
		}
		for _, s := range shapes {
			want := 0
			for _, r := range rooms {
				want += Fit(r, s)
			}
			if got := tab.Count(s, any); got != want {
				t.Fatalf("count %d, want %d", got, want)
			}
			x := rnd.Float64() * 5
			if tab.Allocable(s, any, []Buffer{{shapes[0], x + 1}}) > tab.Allocable(s, any, []Buffer{{shapes[0], x}}) {
				t.Fatal("a larger buffer left more room")
			}
		}
	}
}
