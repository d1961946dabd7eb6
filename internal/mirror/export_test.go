package mirror

import "time"

// DateByTheAnswer is a broken variant: what is known counts from the answer on, not from the
// question. The returned function mends it.
func DateByTheAnswer() (mend func()) {
	right := datedBy
	datedBy = func(_, answered time.Time) time.Time { return answered }
	return func() { datedBy = right }
}
