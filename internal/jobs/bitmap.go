package jobs

import (
	"math/bits"
	"slices"
)

// Bitmap is a set of tasks by their offsets in a range.
type Bitmap []byte

// Has reports whether offset i is set.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// With returns a copy with the given offsets set as well.
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

// Count returns the number of offsets below n that are set.
func (b Bitmap) Count(n int) int {
	count := 0
	for i, octet := range b {
		if beyond := 8*(i+1) - n; beyond > 0 { // bits at n and above do not count
			octet &= byte(0xff) >> min(beyond, 8)
		}
		count += bits.OnesCount8(octet)
	}
	return count
}
