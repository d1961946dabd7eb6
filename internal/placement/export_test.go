package placement

import "time"

// Hold keeps the actor from doing anything for a while, as a process that is not
// given the processor.
func (a *Actor) Hold(d time.Duration) {
	a.tell(call(func(*Actor) { time.Sleep(d) }))
}
