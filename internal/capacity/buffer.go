package capacity

import (
	"math"
	"slices"
)

// Buffer reserves free capacity for a number of tasks of a shape.
type Buffer struct {
	Shape Resources `json:"shape"`
	Tasks float64   `json:"tasks"`
}

// ConvertBuffer returns how many tasks of a shape a buffer takes the capacity of, rounded up:
// the paper's A[t]/A[t'] * x. fitting and fittingBuffered are how many tasks of the shape and
// of the buffer's shape fit, A[t] and A[t']. If none of the buffer's shape fits any more, the
// largest ratio of any one resource is taken.
func ConvertBuffer(fitting, fittingBuffered int, buffer Buffer, shape Resources) int {
	if buffer.Tasks <= 0 || fitting <= 0 {
		return 0
	}
	if fittingBuffered > 0 {
		ratio := float64(fitting) / float64(fittingBuffered)
		return int(math.Ceil(ratio*buffer.Tasks - roundingTolerance))
	}
	return buffer.ConvertByRatio(shape)
}

// ConvertByRatio returns the buffer in tasks of another shape by the largest ratio of any one
// resource, for use where neither shape can be counted.
func (b Buffer) ConvertByRatio(shape Resources) int {
	ratio := 0.0
	buffered := b.Shape.amounts()
	for i, need := range shape.amounts() {
		if need > 0 {
			ratio = max(ratio, buffered[i]/need)
		}
	}
	return int(math.Ceil(ratio*b.Tasks - roundingTolerance))
}

// Aggregate sums up the buffers of each shape (the paper's step 5), in the order of their first
// appearance.
func Aggregate(buffers []Buffer) []Buffer {
	var sums []Buffer
	for _, buffer := range buffers {
		at := slices.IndexFunc(sums, func(sum Buffer) bool { return sum.Shape == buffer.Shape })
		if at >= 0 {
			sums[at].Tasks += buffer.Tasks
		} else {
			sums = append(sums, buffer)
		}
	}
	return sums
}
