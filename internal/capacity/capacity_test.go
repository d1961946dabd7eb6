package capacity

import (
	"math/rand/v2"
	"testing"
)

func allowAll(Group) bool { return true }

// The example in section 3.2.2 of the paper: two empty machines of 100 units, and shapes of 20, 50
// and 60 units. A buffer of two large tasks leaves no capacity for a medium task, a buffer of six
// small tasks leaves capacity for one.
func TestAllocableMatchesPaperExample(t *testing.T) {
	small, medium, large := Resources{CPU: 20}, Resources{CPU: 50}, Resources{CPU: 60}
	table := NewTable()
	for _, host := range []string{"x", "y"} {
		table.Set(host, Group{Zone: "a"}, Resources{CPU: 100})
	}
	if n := table.AllocableCount(medium, allowAll, []Buffer{{large, 2}}); n != 0 {
		t.Errorf("with a buffer of two large tasks, %d medium tasks fit, want 0", n)
	}
	if n := table.AllocableCount(medium, allowAll, []Buffer{{small, 6}}); n != 1 {
		t.Errorf("with a buffer of six small tasks, %d medium tasks fit, want 1", n)
	}
}

func TestConvertBuffer(t *testing.T) {
	for _, test := range []struct {
		name                             string
		fittingTasks, fittingBufferTasks int
		buffer                           Buffer
		shape                            Resources
		want                             int
	}{
		{"rounds up", 3, 2, Buffer{Tasks: 1}, Resources{CPU: 1}, 2},
		{"largest ratio if no buffered task fits", 9, 0,
			Buffer{Shape: Resources{CPU: 4, MemGB: 30}, Tasks: 2}, Resources{CPU: 2, MemGB: 10}, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ConvertBuffer(test.fittingTasks, test.fittingBufferTasks, test.buffer, test.shape); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// Incrementally updated counts equal counts that are computed anew, and a larger buffer never leaves
// more capacity.
func TestCountsMatchRecomputation(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	shapes := []Resources{{CPU: 1, MemGB: 3.6}, {CPU: 7, MemGB: 26}, {CPU: 2, GPU: 1, MemGB: 8}}
	table := NewTable()
	free := map[string]Resources{}
	for range 2000 {
		host := string(rune('a' + rnd.IntN(8)))
		if rnd.IntN(4) == 0 {
			table.Remove(host)
			delete(free, host)
		} else {
			free[host] = Resources{float64(rnd.IntN(17)), float64(rnd.IntN(3)), float64(rnd.IntN(65))}
			table.Set(host, Group{Zone: host}, free[host])
		}
		for _, shape := range shapes {
			want := 0
			for _, resources := range free {
				want += FitCount(resources, shape)
			}
			if got := table.Count(shape, allowAll); got != want {
				t.Fatalf("count %d, want %d", got, want)
			}
			bufferedTasks := rnd.Float64() * 5
			allocableWithLarger := table.AllocableCount(shape, allowAll, []Buffer{{shapes[0], bufferedTasks + 1}})
			if allocableWithLarger > table.AllocableCount(shape, allowAll, []Buffer{{shapes[0], bufferedTasks}}) {
				t.Fatal("a larger buffer left more capacity")
			}
		}
	}
}
