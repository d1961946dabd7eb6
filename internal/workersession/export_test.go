package workersession

import (
	"time"

	"cherrywall/internal/config"
)

// AcceptStaleHeartbeats is a broken variant: a report that comes late counts as news. The returned
// function mends it.
func AcceptStaleHeartbeats() (mend func()) {
	isStale = func(heartbeatID, heartbeatID) bool { return false }
	return func() { isStale = heartbeatID.notAfter }
}

// StartWithoutReadBarrier is a broken variant: starts are ordered whatever may have been cancelled
// meanwhile.
func StartWithoutReadBarrier() (mend func()) {
	right := cancellationsKnown
	cancellationsKnown = func(*config.Config, time.Time, time.Time) bool { return true }
	return func() { cancellationsKnown = right }
}

// TrustEveryDirectHeartbeat is a broken variant: what a worker that was asked directly does not list counts as not
// there, whatever may still be on its way to it.
func TrustEveryDirectHeartbeat() (mend func()) {
	right := responsesExpired
	responsesExpired = func(time.Duration) bool { return true }
	return func() { responsesExpired = right }
}
