package sessions

// TakeOldReports is a broken variant: a report that comes late counts as news. The returned
// function mends it.
func TakeOldReports() (mend func()) {
	old = func(age, age) bool { return false }
	return func() { old = age.before }
}
