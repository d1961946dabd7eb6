package placement

import (
	"maps"
	"slices"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// No task of a job starts once its user was told that it is cancelled (docs/recovery.md, "No start
// after a cancellation"). So the answer waits until every controller that holds a part of the
// job has told its workers, or can't order a start any more: sessions.mayStart.

// cancel is a job that was cancelled, as the other controllers are told.
type cancel struct {
	ref   string
	done  int
	stamp uint64
	at    time.Time // when it became known here
}

// confirm is a cancellation that no user is told of yet.
type confirm struct {
	cancel
	holders map[string]bool // other controllers that held a part of the job
	waits   []func()        // questions about the job
}

// cancelled notes that a job is known to be cancelled, before its claims go from the books.
func (a *Actor) cancelled(ref string, done int, stamp uint64) {
	now := time.Now()
	a.cancels = append(a.latestCancels(now), cancel{ref, done, stamp, now})
	j := a.books.Job(ref)
	if j == nil || j.Over() || !a.mirror.Synced() {
		return
	}
	c := &confirm{cancel: a.cancels[len(a.cancels)-1], holders: map[string]bool{}}
	mine := false
	for r := range j.Ranges() {
		s := a.holders.Share(r.Rec().Share)
		if s != nil && s.Mine() {
			mine = mine || r.Count(books.Placed) > 0
		} else if s != nil {
			c.holders[s.Holder()] = true
		}
	}
	if !mine && len(c.holders) == 0 {
		return
	}
	a.confirming[ref] = c
	// The claims go from the books with this same change; then the workers are told.
	a.loop.After(time.Millisecond, func() {
		a.sessions.CallOff(time.Now())
		a.beatNow()
		a.confirm()
	})
}

// confirm answers the questions about jobs that are cancelled for certain.
func (a *Actor) confirm() {
	now := time.Now()
	for _, ref := range slices.Sorted(maps.Keys(a.confirming)) {
		c := a.confirming[ref]
		if !a.certain(c, now) {
			continue
		}
		delete(a.confirming, ref)
		for _, answer := range c.waits {
			answer()
		}
	}
	if len(a.confirming) > 0 && !a.looking {
		a.looking = true
		a.loop.After(tuning.ConfirmLook, func() {
			a.looking = false
			a.confirm()
		})
	}
}

// certain tells whether nobody starts a task of a cancelled job any more, as far as a controller can
// prevent it.
func (a *Actor) certain(c *confirm, now time.Time) bool {
	since := now.Sub(c.at)
	if since < tuning.ConfirmTold && a.sessions.Unbegun(c.ref) {
		return false
	}
	for n := range c.holders {
		if since < a.cfg.StartsOver() && !a.others.Told(n, c.ref) && !(since >= tuning.ConfirmTold && a.others.Reached(n, c.stamp)) {
			return false
		}
	}
	return true
}

// hearCancels takes in what another controller tells of cancellations.
func (a *Actor) hearCancels(all []peer.Cancelled, now time.Time) {
	for _, c := range all {
		a.mirror.Told(c.Ref, c.Done, c.Stamp)
	}
	if len(all) > 0 {
		a.sessions.CallOff(now)
		a.confirm()
	}
}

func (a *Actor) latestCancels(now time.Time) []cancel {
	return slices.DeleteFunc(a.cancels, func(c cancel) bool { return now.Sub(c.at) > tuning.CancelTold })
}

// toldCancels are the latest cancellations, as the others are told.
func (a *Actor) toldCancels(now time.Time) []peer.Cancelled {
	a.cancels = a.latestCancels(now)
	var out []peer.Cancelled
	for _, c := range a.cancels[max(0, len(a.cancels)-tuning.CancelsTold):] {
		out = append(out, peer.Cancelled{Ref: c.ref, Stamp: c.stamp, Done: c.done,
			Told: now.Sub(c.at) >= tuning.ConfirmTold || !a.sessions.Unbegun(c.ref)})
	}
	return out
}
