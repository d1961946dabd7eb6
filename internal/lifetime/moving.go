package lifetime

import (
	"slices"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// Idle machines change share for work that another one must run.

// collector is the share that gathers workers for a gang which no share can
// hold alone: the one with the most room for it by its machines' types, as the
// records say, so that all controllers name the same. ok is false if it holds
// the gang already, or if the gang has not waited long enough.
func (k *Keeper) collector(j *books.Job, now time.Time) (share, zone string, ok bool) {
	rec := j.Rec()
	if j.Over() || rec.Kind != jobs.Gang || rec.FreeCount() != rec.Tasks || now.Sub(j.Seen()) < tuning.CollectAfter {
		return "", "", false
	}
	fit := k.Decider.FitByTypes(j)
	if rec.OneZone {
		// The zone with the most room in all shares together.
		sum := map[string]int{}
		for _, per := range fit {
			for z, n := range per {
				sum[z] += n
			}
		}
		for z, n := range sum {
			if zone == "" || n > sum[zone] || n == sum[zone] && z < zone {
				zone = z
			}
		}
	}
	best := -1
	for _, home := range k.Holders.Names() {
		n := 0
		for z, c := range fit[home] {
			switch {
			case zone != "" && z != zone:
			case rec.Spread:
				n += min(c, (rec.Tasks+1)/2)
			default:
				n += c
			}
		}
		if n > best {
			share, best = home, n
		}
	}
	return share, zone, best < rec.Tasks
}

// donate moves idle workers of our shares to the collector of a waiting gang,
// by one conditional write. Only a worker of which the last report lists
// nothing, and for which nothing is ordered, changes share: no task can be on
// it, so neither share has to wait for the other.
func (k *Keeper) donate(now time.Time) {
	// Few machines are empty at a time, and many jobs may wait.
	var empty []*books.Machine
	for _, m := range k.Books.Held() {
		if is := m.Is(); m.Load() == 0 && is.Empty && !is.Moving && k.Books.Usable(m) && k.Books.Holds(m).Settled() && !k.Books.Holds(m).Prepared() {
			empty = append(empty, m)
		}
	}
	if len(empty) == 0 {
		return
	}
	for j := range k.Books.Jobs() {
		rec := j.Rec()
		if j.Over() || j.Waits() || len(rec.Free) == 0 {
			continue
		}
		to, zone, ok := k.collector(j, now)
		target := k.Holders.Share(to)
		if !ok || target == nil {
			continue
		}
		var give []*books.Machine
		for _, m := range empty {
			if m.Rec().Share != to && rec.Allows(m.Group()) && (zone == "" || zone == m.Rec().Zone) {
				give = append(give, m)
			}
		}
		slices.SortFunc(give, func(x, y *books.Machine) int { return int(x.Stamp()) - int(y.Stamp()) })
		if len(give) > 0 {
			k.move(give[:min(len(give), k.cfg.Limits().TxnOps)], target)
			return
		}
	}
}

func (k *Keeper) move(ms []*books.Machine, target *membership.Share) {
	t := state.Txn{If: []state.Cond{{Key: jobs.SharePrefix + target.ID(), Stamp: target.Stamp()}}}
	from := map[string]bool{}
	for _, m := range ms {
		k.Books.Move(m, true)
		key := jobs.WorkerPrefix + m.Host()
		t.If = append(t.If, state.Cond{Key: key, Stamp: m.Stamp()})
		rec := *m.Rec()
		rec.Share = target.ID()
		t.Writes = append(t.Writes, state.Write{Key: key, Value: state.Encode(rec)})
		if s := k.Books.Holds(m); s != nil && !from[s.ID()] && s.ID() != target.ID() {
			from[s.ID()] = true
			t.If = append(t.If, state.Cond{Key: jobs.SharePrefix + s.ID(), Stamp: s.Stamp()})
		}
	}
	k.Mirror.Txn(state.Normal, t, func(res state.Result, err error) {
		if err != nil {
			// Applied or not, now or later: the workers stay out of use until it
			// is known. The same write again settles it.
			k.loop.After(tuning.RetryMax, func() {
				var left []*books.Machine
				for _, m := range ms {
					if k.Books.Has(m) && m.Is().Moving && k.Books.Holds(m) != nil {
						left = append(left, m)
					}
				}
				if s := k.Holders.Share(target.ID()); s != nil && len(left) > 0 {
					k.move(left, s)
				}
			})
			return
		}
		for _, m := range ms {
			if res.OK || k.Books.Has(m) {
				k.Books.Move(m, false)
			}
		}
		if res.OK {
			k.log.Info("workers moved", "share", target.ID(), "workers", len(ms))
		}
	})
}
