package claims

import (
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/quota"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// Small jobs cost few changes in the state service: 800 jobs of one task within a
// minute took six each, which is more than there are. The write that accepts
// one also claims it (jobs.Record.Own), and one record tells of many that they
// are done (a pack). Their own records follow when there is time for it: see
// tidy.

// Small tells whether a job may be claimed as a whole in its own record. The
// tasks of others are bound to zones or limits, which ranges keep track of.
func (w *Writer) Small(rec *jobs.Record) bool {
	team, _ := w.cfg.Team(rec.Team)
	return rec.Kind == jobs.Array && rec.Tasks <= tuning.SmallJob && !rec.OneZone && !rec.Spread &&
		rec.Completed == 0 && !quota.Limited(team)
}

// Whole is the claim of a whole job in its own record.
func Whole(s *membership.Share, n int) *jobs.Own {
	return &jobs.Own{Share: s.ID(), Tenure: s.Stamp(), N: n}
}

// flushPack makes completed small jobs durable, many in one change. That none
// was cancelled meanwhile rests on the stamps of their records, see Mark.
func (w *Writer) flushPack(now time.Time) {
	if w.packing {
		return
	}
	per := map[string][]*books.Job{}
	due := false
	for j := range w.Books.Jobs() {
		r := j.Range(0)
		if j.Over() || j.Busy() || j.Rec().Own == nil || j.Rec().Sole || r == nil || !r.Here() || r.Tentative() || !r.Whole() {
			continue
		}
		share := r.Rec().Share
		per[share] = append(per[share], j)
		_, since := r.Untold()
		due = due || now.Sub(since) >= tuning.PackEvery
	}
	if !due {
		return
	}
	for share, js := range per {
		s := w.Holders.Share(share)
		if s == nil || !s.Mine() {
			continue
		}
		key, names, stamp := w.Packs.Open(share)
		old := len(names)
		most := min(len(js), 4*w.cfg.Limits().TxnOps-2, tuning.PackJobs)
		js = js[:most]
		t := state.Txn{If: []state.Cond{{Key: key, Stamp: stamp}, held(s)}}
		for _, j := range js {
			names = append(names, jobs.Packed(j.Ref(), j.Rec().Tasks))
			t.If = append(t.If, same(j))
		}
		value := state.Encode(names)
		if !w.Mirror.Fits(value) && old > 0 {
			w.Packs.Full(key) // the next one takes them
			return
		}
		t.Writes = []state.Write{{Key: key, Value: value}}
		w.packing = true
		w.Mirror.Txn(state.Normal, t, func(res state.Result, err error) {
			w.packing = false
			if err == nil && res.OK {
				for _, j := range js {
					w.logDone(j)
				}
			}
		})
		return
	}
}

// Mark begins the cancellation of a job whose end may be written to a
// pack, which leaves its own record as it is: that record is marked first.
// From then on no pack can take the job, and once the mirror has reached the
// mark it is known whether one has before.
func (w *Writer) Mark(j *books.Job, done func(err error)) {
	rec := *j.Rec()
	rec.Sole = true
	w.Mirror.Txn(state.Urgent, state.Txn{
		If:     []state.Cond{same(j), {Key: jobs.FinalKey(j.Ref())}},
		Writes: []state.Write{{Key: jobs.JobKey(j.Ref()), Value: state.Encode(rec)}},
	}, func(_ state.Result, err error) { done(err) })
}

// tidy gives packed jobs a final state of their own and drops their records, and
// then the pack: as long as nothing better is to be done with the changes that
// the state service allows.
func (w *Writer) tidy(now time.Time) {
	if w.tidying || now.Sub(w.tidied) < tuning.TidyEvery ||
		now.Sub(w.Books.Arrived()) < tuning.TidyQuiet && w.Packs.Len() < tuning.TidyAbove {
		return
	}
	w.tidied = now
	key, share, stamp, open, ok := w.Packs.Tidy(min(tuning.TidyChanges, w.cfg.Limits().TxnOps)/2, func(share string) bool {
		s := w.Holders.Share(share)
		return s != nil && s.Mine() && w.Mirror.Knows(s)
	})
	if !ok {
		return
	}
	var t state.Txn
	for _, x := range open {
		t.If = append(t.If, state.Cond{Key: jobs.JobKey(x.Ref), Stamp: x.Stamp})
		t.Writes = append(t.Writes, state.Write{Key: jobs.FinalKey(x.Ref), Value: state.Encode(jobs.Final{Status: jobs.Done, Tasks: x.Tasks})},
			state.Write{Drop: jobs.JobKey(x.Ref)})
	}
	if len(open) == 0 {
		t.If = []state.Cond{{Key: key, Stamp: stamp}}
		t.Writes = []state.Write{{Drop: key}}
	}
	t.If = append(t.If, held(w.Holders.Share(share)))
	w.tidying = true
	w.Mirror.Txn(state.Background, t, func(state.Result, error) { w.tidying = false })
}
