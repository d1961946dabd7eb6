package capacity

import "math"

// roundingTolerance absorbs rounding in sums of decimal amounts.
const roundingTolerance = 1e-6

// Resources is an amount of the three resources; as a task's need it is the task's shape.
type Resources struct {
	CPU   float64 `json:"cpu"`
	GPU   float64 `json:"gpu"`
	MemGB float64 `json:"mem_gb"`
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, GPU: r.GPU + o.GPU, MemGB: r.MemGB + o.MemGB}
}

// Sub returns the difference of two amounts, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, GPU: r.GPU - o.GPU, MemGB: r.MemGB - o.MemGB}
}

// Covers reports whether a need fits into the amount.
func (r Resources) Covers(need Resources) bool {
	return r.CPU+roundingTolerance >= need.CPU &&
		r.GPU+roundingTolerance >= need.GPU &&
		r.MemGB+roundingTolerance >= need.MemGB
}

// amounts lists the resources for computations that treat them alike.
func (r Resources) amounts() [3]float64 { return [3]float64{r.CPU, r.GPU, r.MemGB} }

// FitCount returns how many tasks of a shape fit into a free amount: the least over the
// resources of the free amount divided by the need, rounded down, and at least 0. Resources that
// the shape does not need are not counted; for a shape without needs it is math.MaxInt32.
func FitCount(free, shape Resources) int {
	count := math.MaxInt32
	available := free.amounts()
	for i, need := range shape.amounts() {
		if need > 0 {
			count = min(count, int(math.Floor((available[i]+roundingTolerance)/need)))
		}
	}
	return max(count, 0)
}
