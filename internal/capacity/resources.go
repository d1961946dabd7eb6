package capacity

import "math"

// roundingTolerance is the amount (CPUs, GPUs or GB) that is ignored in comparisons, because sums
// of decimal amounts are rounded.
const roundingTolerance = 1e-6

// Resources is an amount of CPUs, GPUs and memory. The needs of a task are called its shape.
type Resources struct {
	CPU   float64 `json:"cpu"`
	GPU   float64 `json:"gpu"`
	MemGB float64 `json:"mem_gb"`
}

// Add returns the sum of two amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, GPU: r.GPU + other.GPU, MemGB: r.MemGB + other.MemGB}
}

// Sub returns the difference of two amounts, which may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, GPU: r.GPU - other.GPU, MemGB: r.MemGB - other.MemGB}
}

// Covers reports whether a need fits into the amount.
func (r Resources) Covers(need Resources) bool {
	return r.CPU+roundingTolerance >= need.CPU &&
		r.GPU+roundingTolerance >= need.GPU &&
		r.MemGB+roundingTolerance >= need.MemGB
}

// amounts returns the three amounts as an array, for computations that treat all resources alike.
func (r Resources) amounts() [3]float64 { return [3]float64{r.CPU, r.GPU, r.MemGB} }

// FitCount returns how many tasks of a shape fit into a free amount: the minimum, over all resources,
// of the free amount divided by the need, rounded down, and at least 0. Resources that the shape does
// not need are ignored. For a shape without needs the result is math.MaxInt32.
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
