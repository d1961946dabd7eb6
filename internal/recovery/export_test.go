package recovery

import (
	"iter"
	"slices"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/membership"
)

// OpenBeforeReports is the broken variant: a share waits for none of its workers. The
// returned function mends it.
func OpenBeforeReports() (mend func()) {
	silentWorkers = func(*Keeper, *membership.Share) iter.Seq[*books.Machine] { return slices.Values([]*books.Machine(nil)) }
	return func() { silentWorkers = (*Keeper).silent }
}

// ForgetAnswers is another: a worker is taken for gone by the time of the taking alone, whatever
// this holder has answered it since.
func ForgetAnswers() (mend func()) {
	goneBy = func(k *Keeper, s *membership.Share, _ *books.Machine, now time.Time) bool {
		return now.Sub(s.Since()) > k.cfg.TenureOver()
	}
	return func() { goneBy = (*Keeper).gone }
}
