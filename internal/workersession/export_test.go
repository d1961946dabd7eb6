package workersession

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/startgate"
)

// AcceptStaleHeartbeats is a mutation: a heartbeat that arrives after a newer one is applied like a new one. The
// returned function restores the correct code.
func AcceptStaleHeartbeats() (restore func()) {
	isStale = func(heartbeatID, heartbeatID) bool { return false }
	return func() { isStale = heartbeatID.isNotNewerThan }
}

// StartWithoutReadBarrier is a mutation: start commands are sent even if the job may have been cancelled since the
// last read of the key-value store. The returned function restores the correct code.
func StartWithoutReadBarrier() (restore func()) {
	return ignoreRefusal(startgate.CancellationUnknown)
}

// ignoreRefusal is a mutation: starts that the gate refuses with ignoredReason are sent. The returned function
// restores the correct code.
func ignoreRefusal(ignoredReason startgate.Refusal) (restore func()) {
	original := checkStart
	checkStart = func(gate *startgate.Gate, assignment *clusterstate.Assignment, now time.Time) startgate.Refusal {
		refusal := original(gate, assignment, now)
		if refusal == ignoredReason {
			return startgate.Allowed
		}
		return refusal
	}
	return func() { checkStart = original }
}

// TrustEveryDirectHeartbeat is a mutation: a task that the answer to a direct request does not list is treated as
// not on the worker, even if its start may still be in flight. The returned function restores the correct code.
func TrustEveryDirectHeartbeat() (restore func()) {
	original := responsesExpired
	responsesExpired = func(time.Duration) bool { return true }
	return func() { responsesExpired = original }
}
