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

// ConvertBuffer returns how many tasks of a shape, rounded up, lose their capacity to a buffer:
// A[t]/A[t'] * x in the paper, where x is the number of buffered tasks. fittingTasks (A[t]) and
// fittingBufferTasks (A[t']) are how many tasks of the given shape and of the buffer's shape fit.
// If no task of the buffer's shape fits any more, the buffer is converted by ConvertByRatio.
func ConvertBuffer(fittingTasks, fittingBufferTasks int, buffer Buffer, shape Resources) int {
	if buffer.Tasks <= 0 || fittingTasks <= 0 {
		return 0
	}
	if fittingBufferTasks > 0 {
		ratio := float64(fittingTasks) / float64(fittingBufferTasks)
		return int(math.Ceil(ratio*buffer.Tasks - roundingTolerance))
	}
	return buffer.ConvertByRatio(shape)
}

// ConvertByRatio converts the buffer to tasks of another shape by the largest ratio between the
// needs of the two shapes for any one resource, rounded up. It is used where the fitting tasks of
// the two shapes cannot be counted.
func (b Buffer) ConvertByRatio(shape Resources) int {
	ratio := 0.0
	bufferAmounts := b.Shape.amounts()
	for i, need := range shape.amounts() {
		if need > 0 {
			ratio = max(ratio, bufferAmounts[i]/need)
		}
	}
	return int(math.Ceil(ratio*b.Tasks - roundingTolerance))
}

// Aggregate sums up the buffers of each shape (step 5 in the paper). The shapes are in the order of
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
