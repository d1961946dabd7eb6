package workersession

import (
	"time"

	"cherrywall/internal/config"
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
	original := cancellationsKnown
	cancellationsKnown = func(*config.Config, time.Time, time.Time) bool { return true }
	return func() { cancellationsKnown = original }
}

// TrustEveryDirectHeartbeat is a mutation: what the answer to a direct exchange does not list counts as not
// on the worker, whatever may still be in flight to it. The returned function restores the correct code.
func TrustEveryDirectHeartbeat() (restore func()) {
	original := responsesExpired
	responsesExpired = func(time.Duration) bool { return true }
	return func() { responsesExpired = original }
}
