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

// ConvertBuffer converts a buffer to the number of tasks of another shape for which it takes the
// capacity, rounded up: the paper's A[t]/A[t'] * x. fitting and fittingBuffered are the numbers of
// fitting tasks of that shape and of the buffer's shape, A[t] and A[t']. If no task of the buffer's
// shape fits any more, the buffer is converted by ConvertByRatio.
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

// ConvertByRatio converts the buffer to tasks of another shape by the largest ratio between the
// needs of the two shapes for any one resource, rounded up. It is for use where the fitting tasks of
// the two shapes can not be counted.
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

// Aggregate sums up the buffers of each shape (the paper's step 5). The shapes are in the order of
// their first appearance.
func Aggregate(buffers []Buffer) []Buffer {
	var sums []Buffer
	for _, buffer := range buffers {
		index := slices.IndexFunc(sums, func(sum Buffer) bool { return sum.Shape == buffer.Shape })
		if index >= 0 {
			sums[index].Tasks += buffer.Tasks
		} else {
			sums = append(sums, buffer)
		}
	}
	return sums
}
