// Package capacity counts how many tasks of a shape still fit, and converts
// buffers of one shape into tasks of another (the paper, sections 3.1, 3.2).
package capacity

import "math"

// roundingTolerance absorbs rounding in sums of decimal amounts.
const roundingTolerance = 1e-6

// Resources is an amount of the three resources; as a need it is a task shape.
type Resources struct {
	CPU   float64 `json:"cpu"`
	GPU   float64 `json:"gpu"`
	MemGB float64 `json:"mem_gb"`
}

// Add and Sub are componentwise.
func (v Resources) Add(o Resources) Resources {
	return Resources{v.CPU + o.CPU, v.GPU + o.GPU, v.MemGB + o.MemGB}
}
func (v Resources) Sub(o Resources) Resources {
	return Resources{v.CPU - o.CPU, v.GPU - o.GPU, v.MemGB - o.MemGB}
}

// Covers tells whether a need fits.
func (v Resources) Covers(need Resources) bool {
	return v.CPU+roundingTolerance >= need.CPU && v.GPU+roundingTolerance >= need.GPU && v.MemGB+roundingTolerance >= need.MemGB
}

// FitCount is how many tasks of a shape fit into an amount of room: the least over
// the resources of room divided by need, rounded down.
func FitCount(free, shape Resources) int {
	n := math.MaxInt32
	for _, d := range [3][2]float64{{free.CPU, shape.CPU}, {free.GPU, shape.GPU}, {free.MemGB, shape.MemGB}} {
		if d[1] > 0 {
			n = min(n, int(math.Floor((d[0]+roundingTolerance)/d[1])))
		}
	}
	return max(n, 0)
}

// Group is what counts are kept apart by: jobs differ in what they allow.
type Group struct {
	Zone, MachineType string
	Spot              bool
	// Surplus machines are wanted empty, to be returned.
	Surplus bool
}

// Buffer protects room for x tasks of a shape in a zone ("" for any).
type Buffer struct {
	Shape Resources `json:"shape"`
	Tasks float64   `json:"tasks"`
}

// ConvertBuffer is the paper's ratio: a buffer of x tasks of t' as tasks of t,
// A[t]/A[t'] * x, rounded up. If no t' fits any more, x times the largest
// per-resource ratio of t' to t is taken.
func ConvertBuffer(aT, aBuf int, b Buffer, t Resources) int {
	if b.Tasks <= 0 || aT <= 0 {
		return 0
	}
	if aBuf > 0 {
		return int(math.Ceil(float64(aT)/float64(aBuf)*b.Tasks - roundingTolerance))
	}
	return b.ConvertByRatio(t)
}

// ConvertByRatio is a buffer as tasks of another shape by the largest ratio of any one
// resource: what it takes where neither shape can be counted.
func (b Buffer) ConvertByRatio(t Resources) int {
	ratio := 0.0
	for _, d := range [3][2]float64{{b.Shape.CPU, t.CPU}, {b.Shape.GPU, t.GPU}, {b.Shape.MemGB, t.MemGB}} {
		if d[1] > 0 {
			ratio = max(ratio, d[0]/d[1])
		}
	}
	return int(math.Ceil(ratio*b.Tasks - roundingTolerance))
}

type machine struct {
	group Group
	free  Resources
}

// Table keeps counts per shape and group, up to date with every change of a
// machine (the paper, section 4.2, "Caching").
type Table struct {
	machines map[string]machine
	counts   map[Resources]map[Group]int
	version  uint64
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{machines: map[string]machine{}, counts: map[Resources]map[Group]int{}}
}

// Set notes a machine's free room.
func (t *Table) Set(host string, g Group, free Resources) {
	old, had := t.machines[host]
	if had && old.group == g && old.free == free {
		return
	}
	for shape, per := range t.counts {
		if had {
			per[old.group] -= FitCount(old.free, shape)
		}
		per[g] += FitCount(free, shape)
	}
	t.machines[host] = machine{g, free}
	t.version++
}

// Version rises with every change of a count: what was worked out under one holds
// as long as it is the same.
func (t *Table) Version() uint64 { return t.version }

// Remove forgets a machine.
func (t *Table) Remove(host string) {
	old, had := t.machines[host]
	if !had {
		return
	}
	for shape, per := range t.counts {
		per[old.group] -= FitCount(old.free, shape)
	}
	delete(t.machines, host)
	t.version++
}

func (t *Table) countsFor(shape Resources) map[Group]int {
	per, ok := t.counts[shape]
	if !ok {
		per = map[Group]int{}
		for _, m := range t.machines {
			per[m.group] += FitCount(m.free, shape)
		}
		t.counts[shape] = per
	}
	return per
}

// Count is A[t] over the groups a job allows, buffers not yet deducted.
func (t *Table) Count(shape Resources, allow func(Group) bool) int {
	n := 0
	for g, c := range t.countsFor(shape) {
		if allow(g) {
			n += c
		}
	}
	return n
}

// Allocable is A[t] less the converted buffers.
func (t *Table) Allocable(shape Resources, allow func(Group) bool, buffers []Buffer) int {
	a := t.Count(shape, allow)
	left := a
	for _, b := range Aggregate(buffers) {
		left -= ConvertBuffer(a, t.Count(b.Shape, allow), b, shape)
	}
	return max(left, 0)
}

// Aggregate sums buffers of one shape (the paper's step 5).
func Aggregate(buffers []Buffer) []Buffer {
	var out []Buffer
next:
	for _, b := range buffers {
		for i := range out {
			if out[i].Shape == b.Shape {
				out[i].Tasks += b.Tasks
				continue next
			}
		}
		out = append(out, b)
	}
	return out
}

// Recount recomputes everything, and drops shapes that nobody asks for.
func (t *Table) Recount(wanted map[Resources]bool) {
	for shape := range t.counts {
		delete(t.counts, shape)
		if wanted[shape] {
			t.countsFor(shape)
		}
	}
}
