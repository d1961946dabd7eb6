package claims

import "cherrywall/internal/clusterstate"

// FenceUnclaim is what follows a giving back that was never answered.
func (w *Writer) FenceUnclaim(taskRange *clusterstate.TaskRange, k, n int, tenure uint64) {
	w.fenceUnclaim(taskRange, k, n, tenure)
}
