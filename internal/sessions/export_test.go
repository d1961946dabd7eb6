package sessions

import (
	"time"

	"cherrywall/internal/config"
)

// TakeOldReports is a broken variant: a report that comes late counts as news. The returned
// function mends it.
func TakeOldReports() (mend func()) {
	old = func(age, age) bool { return false }
	return func() { old = age.before }
}

// StartOnOldKnowledge is a broken variant: starts are ordered whatever may have been cancelled
// meanwhile.
func StartOnOldKnowledge() (mend func()) {
	right := freshToStart
	freshToStart = func(*config.Config, time.Time, time.Time) bool { return true }
	return func() { freshToStart = right }
}

// TrustAnyAnswer is a broken variant: what a worker that was asked directly does not list counts as not
// there, whatever may still be on its way to it.
func TrustAnyAnswer() (mend func()) {
	right := silentFor
	silentFor = func(time.Duration) bool { return true }
	return func() { silentFor = right }
}
