package workersession

import (
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/startgate"
)

// AcceptStaleHeartbeats is a mutation: a heartbeat that comes late counts like a new one. The returned
// function restores the correct code.
func AcceptStaleHeartbeats() (restore func()) {
	isStale = func(heartbeatID, heartbeatID) bool { return false }
	return func() { isStale = heartbeatID.notAfter }
}

// StartWithoutReadBarrier is a mutation: start commands are sent whatever may have been cancelled meanwhile.
// The returned function restores the correct code.
func StartWithoutReadBarrier() (restore func()) {
	return admitDespite(startgate.CancellationUnknown)
}

// admitDespite has starts admitted that the gate refuses for a reason. The returned function restores the
// correct code.
func admitDespite(ignored startgate.Refusal) (restore func()) {
	original := checkStart
	checkStart = func(gate *startgate.Gate, assignment *clusterstate.Assignment, now time.Time) startgate.Refusal {
		refusal := original(gate, assignment, now)
		if refusal == ignored {
			return startgate.Allowed
		}
		return refusal
	}
	return func() { checkStart = original }
}

// TrustEveryDirectHeartbeat is a mutation: what the answer to a direct exchange does not list counts as not
// on the worker, whatever may still be in flight to it. The returned function restores the correct code.
func TrustEveryDirectHeartbeat() (restore func()) {
	original := responsesExpired
	responsesExpired = func(time.Duration) bool { return true }
	return func() { responsesExpired = original }
}
