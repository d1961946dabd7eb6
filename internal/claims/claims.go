// Package claims makes durable which tasks a share runs and which are done: the claim of
// unclaimed tasks, the giving back of those that find no room, and the ends of tasks and
// jobs, many in one change of the state service.
package claims

import (
	"errors"
	"log/slog"
	"time"

	"cherrywall/internal/blame"
	"cherrywall/internal/books"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/loop"
	"cherrywall/internal/membership"
	"cherrywall/internal/mirror"
	"cherrywall/internal/packs"
	"cherrywall/internal/quota"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// Slices are what claims are made with.
type Slices struct {
	Books   *books.Books
	Holders *membership.Table
	Mirror  *mirror.Mirror
	Packs   *packs.Book
	Faults  *blame.Judge
	// Quotas are the limits of teams.
	Quotas *quota.Book
}

// Writer has no locks: one actor owns it.
type Writer struct {
	Slices
	loop  *loop.Loop
	cfg   *config.Config
	log   *slog.Logger
	stuck map[*books.Range]time.Time // since when tasks at their ends find no place
	// A pack is being written; records are being tidied up. The second must not
	// hold up the first.
	packing, tidying bool
	tidied           time.Time
	split            split
}

// New makes a writer.
func New(l *loop.Loop, cfg *config.Config, s Slices, log *slog.Logger) *Writer {
	return &Writer{Slices: s, loop: l, cfg: cfg, log: log, stuck: map[*books.Range]time.Time{}, split: newSplit()}
}

// Reset forgets what is under way: all records are read anew.
func (w *Writer) Reset() {
	w.packing, w.tidying = false, false
	clear(w.stuck)
	w.split = newSplit()
}

// Tick does what is due from time to time.
func (w *Writer) Tick(now time.Time) {
	w.flushDone(now)
	w.flushPack(now)
	w.tidy(now)
	w.giveBackStuck(now)
	w.tidyAllocations(now)
	w.remarkAll()
}

// mine is the share of a range if it is held here, else nil.
func (w *Writer) mine(r *books.Range) *membership.Share {
	s := w.Holders.Share(r.Rec().Share)
	if s == nil || !s.Mine() {
		return nil
	}
	return s
}

// held is the condition that a share is still held in this tenure.
func held(s *membership.Share) state.Cond {
	return state.Cond{Key: jobs.SharePrefix + s.ID(), Stamp: s.Stamp()}
}

func same(j *books.Job) state.Cond { return state.Cond{Key: jobs.JobKey(j.Ref()), Stamp: j.Stamp()} }

func rangeKey(r *books.Range) string { return jobs.RangeKey(r.Job().Ref(), r.First()) }

// Claim is one conditional write: the job's unclaimed tasks shrink and a range
// of this share appears. place has put the tasks on machines beforehand; if
// the claim fails they are taken off again.
func (w *Writer) Claim(j *books.Job, s *membership.Share, k int, zone string, place func(r *books.Range) bool) {
	if j.Rec().Kind != jobs.Gang { // a gang is one range, and done as a whole
		k = min(k, tuning.MaxRange)
	}
	span, rest := jobs.Take(j.Rec().Free, k)
	r := w.Books.Tentative(j, s, span, zone)
	if !place(r) {
		w.Books.TakeOff(r)
		return
	}
	r.Mark()
	if r.Rec().N < span.N { // no more fitted than this
		span, rest = jobs.Take(j.Rec().Free, r.Rec().N)
	}
	rec := j.Freed()
	rec.Free = rest
	if zone != "" && rec.Spread {
		per := map[string]int{zone: span.N}
		for z, n := range rec.PerZone {
			per[z] += n
		}
		rec.PerZone = per
	}
	key := rangeKey(r)
	t := state.Txn{If: []state.Cond{same(j), held(s)}}
	inline := span.N == rec.Tasks && w.Small(j.Rec())
	if inline {
		rec.Own = Whole(s, span.N)
		t.Writes = []state.Write{{Key: jobs.JobKey(j.Ref()), Value: state.Encode(rec)}}
	} else {
		t.If = append(t.If, state.Cond{Key: key})
		t.Writes = []state.Write{{Key: jobs.JobKey(j.Ref()), Value: state.Encode(rec)}, {Key: key, Value: state.Encode(r.Rec())}}
	}
	w.Books.Enter(r, inline)
	j.Begin()
	w.Mirror.Txn(state.Normal, t, func(res state.Result, err error) {
		j.End(res, err)
		if w.Books.Job(j.Ref()) != j || err == nil && res.OK || !r.Tentative() {
			// The mirror has made it durable: perhaps by an earlier write of the same
			// claim, which had gone without an answer and was carried out before this
			// one. Given up, a gang that had been started forgot its try.
			return
		}
		w.Books.GiveUp(r)
	})
}

// giveBackStuck gives tasks that found no room on this share for a while back
// to all shares.
func (w *Writer) giveBackStuck(now time.Time) {
	for r := range w.stuck {
		if !w.Books.Current(r) {
			delete(w.stuck, r)
		}
	}
	for j := range w.Books.Jobs() {
		if j.Over() || j.Busy() {
			continue
		}
		for r := range j.Ranges() {
			if k, n := w.waiting(r, now); n > 0 {
				w.giveBack(r, k, n)
				break
			}
		}
	}
}

// waiting is a run of tasks of a range, n from the k-th on, that is to be given back: they found
// no place for a while. A gang, and a job claimed as a whole, goes back whole or not at all. As
// long as some find a place now and then, the others wait for theirs. Those at the range's end
// go first, they cost least; then others, where a machine was lost. Only the end went once: a task
// in the middle waited for its share, or its zone, for as long as that had no room.
func (w *Writer) waiting(r *books.Range, now time.Time) (k, n int) {
	j := r.Job()
	if untold, _ := r.Untold(); !r.Here() || r.Tentative() || r.Writing() || untold > 0 {
		return 0, 0
	}
	ready := r.Count(books.Ready)
	if whole := j.Rec().Kind == jobs.Gang || r.Inline(); ready == 0 || whole && ready < r.Len() {
		delete(w.stuck, r)
		return 0, 0
	}
	since, known := w.stuck[r]
	if !known || r.LastPlaced().After(since) {
		since = now
		w.stuck[r] = now
	}
	k, n = longestRun(r)
	wait := tuning.UnclaimAfter
	switch {
	case j.Background():
		// Stopped again and again for other work, it would be given back and
		// claimed each time, at four changes in the state service.
		wait = tuning.BackgroundUnclaim
	case k+n < r.Len():
		wait = tuning.SplitAfter
	}
	if now.Sub(since) < wait || w.Faults.Blamed(j.Ref()) {
		return 0, 0
	}
	return k, n
}

// longestRun is the run of ready tasks at a range's end, or the longest if the last is not ready.
func longestRun(r *books.Range) (k, n int) {
	for i := 0; i < r.Len(); {
		from := i
		for i < r.Len() && r.State(i) == books.Ready {
			i++
		}
		if i-from > n || i > from && i == r.Len() {
			k, n = from, i-from
		}
		i++
	}
	return k, n
}

// giveBack gives n tasks from the k-th on back to all shares. What is behind them becomes a range
// of its own.
func (w *Writer) giveBack(r *books.Range, k, n int) {
	j, s := r.Job(), w.mine(r)
	if s == nil {
		return
	}
	rec := j.Freed()
	rec.Free = jobs.Give(rec.Free, jobs.Span{First: r.First() + k, N: n})
	if !w.Storable(rec) {
		return // too scattered to be kept; the tasks wait here
	}
	if zone := r.Rec().Zone; zone != "" && rec.Spread {
		per := map[string]int{}
		for z, c := range rec.PerZone {
			per[z] = c
		}
		per[zone] -= n
		rec.PerZone = per
	}
	rec.Own = nil
	t := state.Txn{If: []state.Cond{same(j), held(s)},
		Writes: []state.Write{{Key: jobs.JobKey(j.Ref()), Value: state.Encode(rec)}}}
	if !r.Inline() {
		key := rangeKey(r)
		t.If = append(t.If, state.Cond{Key: key, Stamp: r.Stamp()})
		write := state.Write{Drop: key}
		if k > 0 {
			write = state.Write{Key: key, Value: state.Encode(r.Part(0, k))}
		}
		t.Writes = append(t.Writes, write)
		if behind := r.Len() - k - n; behind > 0 {
			key := jobs.RangeKey(j.Ref(), r.First()+k+n)
			t.If = append(t.If, state.Cond{Key: key})
			t.Writes = append(t.Writes, state.Write{Key: key, Value: state.Encode(r.Part(k+n, behind))})
		}
	}
	j.Begin()
	r.Leave(k, n) // not to be started meanwhile
	tenure, since := s.Stamp(), w.stuck[r]
	w.Mirror.Txn(state.Normal, t, func(res state.Result, err error) {
		j.End(res, err)
		delete(w.stuck, r)
		switch {
		case err == nil && res.OK:
			w.Books.Unplan(j)
			// Other tasks of the range have waited as long.
			for _, first := range []int{r.First(), r.First() + k + n} {
				if left := j.Range(first); left != nil {
					w.stuck[left] = since
				}
			}
			w.log.Info("tasks given back", "job", j.Ref(), "share", s.ID(), "tasks", n)
		case err == nil || !errors.Is(err, state.ErrUnknown): // certainly not made
			r.Stay(k, n)
		default:
			// The outcome is unknown: the tasks may be another share's by now, or
			// become so later. Writing the range again decides it: the late
			// transaction then finds another stamp.
			w.pin(r, k, n, tenure)
		}
	})
}

// pin rewrites a range so that an unanswered transaction on it can no longer
// be applied, and frees its tasks for a start. It ends with the tenure in which
// they were known to be nowhere: a pin that outlived it made tasks ready which
// another holder had started meanwhile (ran_twice on drawn days of sinai).
func (w *Writer) pin(r *books.Range, k, n int, tenure uint64) {
	s := w.mine(r)
	if s == nil || s.Stamp() != tenure || !w.Books.Current(r) {
		return
	}
	key, value := rangeKey(r), state.Encode(r.Rec())
	if r.Inline() {
		key, value = jobs.JobKey(r.Job().Ref()), state.Encode(r.Job().Rec())
	}
	r.Writes()
	w.Mirror.Txn(state.Urgent, state.Txn{
		If:     []state.Cond{{Key: key, Stamp: r.Stamp()}, held(s)},
		Writes: []state.Write{{Key: key, Value: value}},
	}, func(res state.Result, err error) {
		r.Written()
		if err == nil && res.OK {
			r.Stay(k, n)
			w.Books.Touch()
			return
		}
		w.loop.After(tuning.RetryMax, func() { w.pin(r, k, n, tenure) })
	})
}

// Remark makes durable where a gang is planned, if its mark does not allow it: its tasks are
// ordered only once that is known (books.GangReady). None of them is on any machine then,
// so that what the mark said before need not be kept. Without an answer it is written again
// under the same condition until the record has another stamp: one of them holds then, and
// none that is late can.
func (w *Writer) Remark(r *books.Range) {
	s := w.mine(r)
	if s == nil || !w.Books.Current(r) || !r.Unmarked() || r.Marking() || r.Writing() {
		return
	}
	rec := *r.Rec()
	rec.On = r.MarkOf()
	key := rangeKey(r)
	r.Marks()
	w.Mirror.Txn(state.Normal, state.Txn{
		If:     []state.Cond{{Key: key, Stamp: r.Stamp()}, held(s)},
		Writes: []state.Write{{Key: key, Value: state.Encode(rec)}},
	}, func(_ state.Result, err error) {
		r.MarkTold(err == nil)
		w.Books.Touch()
	})
}

// remarkAll sees to plans whose marks could not be written.
func (w *Writer) remarkAll() {
	for j := range w.Books.Jobs() {
		if j.Over() || j.Rec().Kind != jobs.Gang {
			continue
		}
		for r := range j.Ranges() {
			w.Remark(r)
		}
	}
}

// Storable tells whether a job's record fits a value of the state service.
func (w *Writer) Storable(rec jobs.Record) bool { return w.Mirror.Keeps(state.Encode(rec)) }
