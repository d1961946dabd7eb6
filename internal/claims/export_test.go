package claims

import "cherrywall/internal/clusterstate"

// FenceUnclaim exports fenceUnclaim, which is called after an unclaim without an answer.
func (w *Writer) FenceUnclaim(taskRange *clusterstate.TaskRange, offset, count int, epoch uint64) {
	w.fenceUnclaim(taskRange, taskSpan{offset, count}, epoch)
}
