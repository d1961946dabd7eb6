package claims

import (
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// The ends of tasks and jobs.

// flushDone makes completed tasks durable, many in one write; the write that
// completes a job makes it done in the same transaction.
func (w *Writer) flushDone(now time.Time) {
	for j := range w.Books.Jobs() {
		if j.Over() {
			w.dropRanges(j)
			continue
		}
		if !j.Free(w.Mirror.Position()) || j.Rec().Own != nil && !j.Rec().Sole {
			continue // see flushPack
		}
		var part, whole []*books.Range
		due, done, open := false, j.Rec().Completed, len(j.Rec().Free) > 0
		for r := range j.Ranges() {
			if !r.Here() {
				continue
			}
			open = open || !r.Whole()
			if r.Writing() || r.Tentative() {
				continue
			}
			untold, since := r.Untold()
			switch {
			case r.Whole() && len(whole) < w.cfg.Limits().TxnOps-2:
				whole = append(whole, r)
				done += r.Rec().N
				due = due || now.Sub(since) >= tuning.DoneCoalesce
			case untold > 0 && !r.Inline() && now.Sub(since) >= tuning.DoneCoalesce:
				part = append(part, r)
			}
		}
		// The last of this controller's part goes at once: another may be waiting
		// for it to complete the job.
		if len(whole) > 0 && (done == j.Rec().Tasks || due || !open) {
			w.fold(j, whole)
			continue
		}
		for _, r := range part {
			w.flushRange(r)
		}
	}
}

func (w *Writer) flushRange(r *books.Range) {
	s := w.mine(r)
	if s == nil {
		return
	}
	key := rangeKey(r)
	r.Writes()
	w.Mirror.Txn(state.Background, state.Txn{
		If:     []state.Cond{{Key: key, Stamp: r.Stamp()}, held(s)},
		Writes: []state.Write{{Key: key, Value: state.Encode(r.DoneRecord())}},
	}, func(state.Result, error) { r.Told() })
}

// fold takes completed ranges into the job's record and drops them; the fold
// that completes the job makes it done in the same transaction. All folds of a
// job write its record, so they exclude each other and a cancellation.
func (w *Writer) fold(j *books.Job, whole []*books.Range) {
	rec := j.Freed()
	t := state.Txn{If: []state.Cond{same(j)}}
	shares := map[string]bool{}
	for _, r := range whole {
		s := w.mine(r)
		if s == nil {
			return
		}
		if !shares[s.ID()] {
			shares[s.ID()] = true
			t.If = append(t.If, held(s))
		}
		if !r.Inline() {
			key := rangeKey(r)
			t.If = append(t.If, state.Cond{Key: key, Stamp: r.Stamp()})
			t.Writes = append(t.Writes, state.Write{Drop: key})
		}
		rec.Completed += r.Rec().N
	}
	over := rec.Completed == rec.Tasks
	if over {
		t.If = append(t.If, state.Cond{Key: jobs.FinalKey(j.Ref())})
		t.Writes = append(t.Writes, state.Write{Key: jobs.FinalKey(j.Ref()), Value: state.Encode(jobs.Final{Status: jobs.Done, Tasks: rec.Tasks})},
			state.Write{Drop: jobs.JobKey(j.Ref())})
	} else {
		t.Writes = append(t.Writes, state.Write{Key: jobs.JobKey(j.Ref()), Value: state.Encode(rec)})
	}
	j.Begin()
	w.Mirror.Txn(state.Normal, t, func(res state.Result, err error) {
		j.End(res, err)
		if over && err == nil && res.OK {
			w.logDone(j)
		}
	})
}

func (w *Writer) logDone(j *books.Job) {
	w.log.Info("job done", "job", j.Ref(), "class", j.Rec().Class, "took_s", j.Age(time.Now()).Seconds())
}

// dropRanges removes what is left of jobs that are over.
func (w *Writer) dropRanges(j *books.Job) {
	for r := range j.Ranges() {
		s := w.mine(r)
		if s == nil || r.Dropping() || r.Tentative() || r.Inline() {
			continue
		}
		r.Drops(true)
		w.Mirror.Txn(state.Background, state.Txn{
			If:     []state.Cond{{Key: jobs.JobKey(j.Ref())}, held(s), {Key: rangeKey(r), Stamp: r.Stamp()}},
			Writes: []state.Write{{Drop: rangeKey(r)}},
		}, func(state.Result, error) { r.Drops(false) })
	}
}
