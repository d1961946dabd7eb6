package capacity

import (
	"math/rand/v2"
	"testing"
)

// The paper's example (3.2.2): two empty machines of 100 units, shapes of 20,
// 50 and 60 units. Two large buffers leave no room for a medium task, six
// small ones leave one.
func TestThePapersExample(t *testing.T) {
	small, medium, large := Resources{CPU: 20}, Resources{CPU: 50}, Resources{CPU: 60}
	table := NewTable()
	for _, h := range []string{"x", "y"} {
		table.Set(h, Group{Zone: "a"}, Resources{CPU: 100})
	}
	any := func(Group) bool { return true }
	if n := table.Allocable(medium, any, []Buffer{{large, 2}}); n != 0 {
		t.Errorf("with two large buffers %d fit", n)
	}
	if n := table.Allocable(medium, any, []Buffer{{small, 6}}); n != 1 {
		t.Errorf("with six small buffers %d fit", n)
	}
}

func TestConversionRoundsUpAndCoversTheEmptyCase(t *testing.T) {
	if n := ConvertBuffer(3, 2, Buffer{Tasks: 1}, Resources{CPU: 1}); n != 2 {
		t.Errorf("3/2 became %d", n)
	}
	b := Buffer{Shape: Resources{CPU: 4, MemGB: 30}, Tasks: 2}
	if n := ConvertBuffer(9, 0, b, Resources{CPU: 2, MemGB: 10}); n != 6 {
		t.Errorf("the largest ratio of a shape that fits nowhere gave %d", n)
	}
}

// Property: counts kept incrementally equal counts made anew, and one more
// unit of buffer never makes more room.
func TestCountsStayTrueUnderChange(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	any := func(Group) bool { return true }
	shapes := []Resources{{CPU: 1, MemGB: 3.6}, {CPU: 7, MemGB: 26}, {CPU: 2, GPU: 1, MemGB: 8}}
	table := NewTable()
	rooms := map[string]Resources{}
	for range 2000 {
		h := string(rune('a' + rnd.IntN(8)))
		if rnd.IntN(4) == 0 {
			table.Remove(h)
			delete(rooms, h)
		} else {
			rooms[h] = Resources{float64(rnd.IntN(17)), float64(rnd.IntN(3)), float64(rnd.IntN(65))}
			table.Set(h, Group{Zone: h}, rooms[h])
		}
		for _, s := range shapes {
			want := 0
			for _, r := range rooms {
				want += FitCount(r, s)
			}
			if got := table.Count(s, any); got != want {
				t.Fatalf("count %d, want %d", got, want)
			}
			x := rnd.Float64() * 5
			if table.Allocable(s, any, []Buffer{{shapes[0], x + 1}}) > table.Allocable(s, any, []Buffer{{shapes[0], x}}) {
				t.Fatal("a larger buffer left more room")
			}
		}
	}
}
