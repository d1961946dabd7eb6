package placement

import (
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/mirror"
)

// Hold keeps the actor from doing anything for a while, as a process that is not
// given the processor.
func (a *Actor) Hold(d time.Duration) { a.loop.Tell(func() { time.Sleep(d) }) }

// AnswerUnread is a broken variant: users are answered from what is known here, however old that
// is. The returned function mends it.
func AnswerUnread() (mend func()) {
	right := current
	current = func(_ *mirror.Mirror, _ bool, done func(ok bool)) { done(true) }
	return func() { current = right }
}

// TakeAnything is a broken variant: jobs are accepted that can never run. The returned function
// mends it.
func TakeAnything() (mend func()) {
	right := judge
	judge = func(*Actor, *jobs.Spec) (bool, error) { return true, nil }
	return func() { judge = right }
}
