package claims

import (
	"encoding/hex"
	"math"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/capacity"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/quota"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// What teams with a limit may use here: allocations that are taken when work has room and
// lacks only them, and given back when it does not.

// place is a team in a share.
type place struct{ team, share string }

// want is what lately was lacking in a place.
type want struct {
	amount quota.Amount
	whole  bool // nothing less is of use
	at     time.Time
}

// split is what is under way and expected of allocations.
type split struct {
	writing map[string]bool // by team: a write of its record
	wants   map[place]want
	idle    map[place]time.Time    // since when a part of an allocation is of no use
	used    map[place]quota.Amount // see used, at so many changes of the books
	changes uint64
}

func newSplit() split {
	return split{writing: map[string]bool{}, wants: map[place]want{}, idle: map[place]time.Time{}, used: map[place]quota.Amount{}}
}

func allocationKey(team string) string { return jobs.QuotaPrefix + hex.EncodeToString([]byte(team)) }

// used is what a team's tasks take on the machines of a share. Tasks of jobs that are over
// count until they are gone: their team may no longer be known, so they count for every
// team.
func (w *Writer) used(t config.Team, share string) quota.Amount {
	if n := w.Books.Changes(); n != w.split.changes {
		w.split.changes = n
		clear(w.split.used)
	}
	at := place{t.Name, share}
	if sum, known := w.split.used[at]; known { // a hundred jobs that wait cost little more than one
		return sum
	}
	var need capacity.Vec
	for _, m := range w.Books.Held() {
		if m.Rec().Share != share {
			continue
		}
		for s := range m.Slots() {
			ref, _, _ := jobs.ParseTask(s.Name())
			if j := w.Books.Job(ref); j == nil || j.Over() || j.Rec().Team == t.Name {
				need = need.Add(s.Need())
			}
		}
	}
	w.split.used[at] = quota.Of(t, need, 1)
	return w.split.used[at]
}

// spare is what a team may use more in a share; false if that is not known yet, or not
// this controller's to say.
func (w *Writer) spare(t config.Team, s *membership.Share) (quota.Amount, bool) {
	if s == nil || !s.Mine() || !s.Settled() {
		return quota.Amount{}, false
	}
	return w.Quotas.Have(t, s.ID()).Sub(w.used(t, s.ID())), true
}

// Within is how many more of a job's tasks its team's limit allows in a share.
func (w *Writer) Within(j *books.Job, s *membership.Share) int {
	t, _ := w.cfg.Team(j.Rec().Team)
	if !quota.Limited(t) {
		return math.MaxInt32
	}
	left, known := w.spare(t, s)
	if !known {
		return 0
	}
	return quota.Fit(left, quota.Of(t, j.Need(), 1))
}

// Want takes what a share lacks for so many more of a job's tasks, for which it has room:
// all of it or none if nothing less is of use.
func (w *Writer) Want(j *books.Job, s *membership.Share, tasks int, whole bool) {
	t, _ := w.cfg.Team(j.Rec().Team)
	left, known := w.spare(t, s)
	if !known || tasks <= 0 {
		return
	}
	lacks := quota.Of(t, j.Need(), tasks).Sub(left.Floor()).Floor()
	w.split.wants[place{t.Name, s.ID()}] = want{lacks, whole, time.Now()}
	if rec, ok := w.Quotas.Take(t, s.ID(), lacks, whole); ok {
		w.writeAllocations(t.Name, s, rec, func(state.Result, error) {})
	}
}

// writeAllocations writes a team's record as the holder of a share.
func (w *Writer) writeAllocations(team string, s *membership.Share, rec quota.Record, done func(res state.Result, err error)) bool {
	if w.split.writing[team] || w.Mirror.Stale(time.Now()) {
		return false
	}
	w.split.writing[team] = true
	key := allocationKey(team)
	w.Mirror.Txn(state.Normal, state.Txn{If: []state.Cond{{Key: key, Stamp: w.Quotas.Stamp(team)}, held(s)},
		Writes: []state.Write{{Key: key, Value: state.Encode(rec)}}}, func(res state.Result, err error) {
		done(res, err)
		if err == nil && res.OK {
			delete(w.split.writing, team)
		} else { // the watch is about to tell what has changed
			w.loop.After(2*tuning.WatchGap, func() { delete(w.split.writing, team) })
		}
		w.Books.Touch()
	})
	return true
}

// tidyAllocations gives back what is of no use here: soon if the team has work that nobody
// has claimed, and after a while in any case.
func (w *Writer) tidyAllocations(now time.Time) {
	var hungry map[string]bool // teams with work that nobody has claimed
	for _, t := range w.cfg.Cluster.Teams {
		if !quota.Limited(t) || w.split.writing[t.Name] {
			continue
		}
		if hungry == nil {
			hungry = map[string]bool{}
			for j := range w.Books.Jobs() {
				if !j.Over() && !j.Waits() && len(j.Rec().Free) > 0 {
					hungry[j.Rec().Team] = true
				}
			}
		}
		for _, s := range w.Holders.Mine() {
			if w.Quotas.Open(t.Name) {
				// A giving back has no outcome yet. The record written once more decides it:
				// the late transaction then finds another stamp.
				w.writeAllocations(t.Name, s, w.Quotas.Rec(t.Name), func(state.Result, error) {})
				break
			}
			if w.giveBackAllocation(t, s, hungry[t.Name], now) {
				break
			}
		}
	}
}

// giveBackAllocation gives the idle part of a share's allocation back; false if there is none,
// or not for long enough.
func (w *Writer) giveBackAllocation(t config.Team, s *membership.Share, hungry bool, now time.Time) bool {
	at := place{t.Name, s.ID()}
	idle, known := w.spare(t, s)
	if !known || idle.None() || !w.Mirror.Knows(s) {
		delete(w.split.idle, at)
		return false
	}
	// What is lacking may come as long as somebody may give it. Two shares that have half
	// of what a gang needs would wait for each other for ever.
	if x := w.split.wants[at]; now.Sub(x.at) < tuning.AllocationFresh && (!x.whole || w.Quotas.Pool(t).Holds(x.amount)) {
		delete(w.split.idle, at)
		return false
	}
	since, was := w.split.idle[at]
	if !was {
		w.split.idle[at] = now
		return false
	}
	wait := tuning.AllocationKeep
	if hungry {
		wait = tuning.AllocationHungry
	}
	if now.Sub(since) < wait {
		return false
	}
	idle = idle.Floor()
	rec := w.Quotas.Release(t, s.ID(), idle)
	if !w.writeAllocations(t.Name, s, rec, func(res state.Result, err error) {
		if err == nil && !res.OK {
			w.Quotas.Refused(t.Name, s.ID())
		}
	}) {
		return false
	}
	w.Quotas.Sent(t.Name, s.ID(), idle) // not to be used from now on
	delete(w.split.idle, at)
	return true
}
