package jobs

import (
	"math/bits"
	"slices"
)

// Bitmap is a set of tasks, each given by its offset from the first task of a range.
type Bitmap []byte

// Has reports whether offset i is set.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// With returns a copy of the set with the given offsets added.
func (b Bitmap) With(offsets ...int) Bitmap {
	out := slices.Clone(b)
	for _, i := range offsets {
		for i/8 >= len(out) {
			out = append(out, 0)
		}
		out[i/8] |= 1 << (i % 8)
	}
	return out
}

// Count returns how many offsets below n are set.
func (b Bitmap) Count(n int) int {
	count := 0
	for i, octet := range b {
		if excessBits := 8*(i+1) - n; excessBits > 0 { // offsets of n and above are not counted
			octet &= byte(0xff) >> min(excessBits, 8)
		}
		count += bits.OnesCount8(octet)
	}
	return count
}
