package recovery

import (
	"iter"
	"slices"

	"cherrywall/internal/books"
	"cherrywall/internal/membership"
)

// OpenBeforeReports is the broken variant: a share waits for none of its workers. The
// returned function mends it.
func OpenBeforeReports() (mend func()) {
	silentWorkers = func(*Keeper, *membership.Share) iter.Seq[*books.Machine] { return slices.Values([]*books.Machine(nil)) }
	return func() { silentWorkers = (*Keeper).silent }
}
