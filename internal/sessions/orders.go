package sessions

import (
	"time"

	"cherrywall/internal/blame"
	"cherrywall/internal/books"
	"cherrywall/internal/jobs"
	"cherrywall/internal/recovery"
	"cherrywall/internal/worker"
)

// What a report shows, and what is ordered in the answer.

// absorb takes a report in: what it lists is there, what was ordered before
// and is not listed is not there.
// quiet tells that it says nothing new of tasks or notices; order what became of the last
// orders to start tasks.
func (k *Keeper) absorb(m *books.Machine, rep *worker.Report, newSession bool) (quiet bool, order heed) {
	now := time.Now()
	quiet = true
	if rep.Recall != nil && !m.Is().Recalled {
		k.log.Info("machine recalled", "worker", m.Host(), "in_s", *rep.Recall)
		k.Books.Recall(m)
		k.evacuate(m, *rep.Recall)
		quiet = false
	}
	if newSession {
		m.NewSession()
	}
	listed := map[string]bool{}
	for _, e := range rep.Tasks {
		s := m.Slot(e.Task)
		if s != nil && s.Try() != e.Try {
			if e.Status == worker.Ended {
				continue // an older attempt's leftover: orders forgets it
			}
			// The plan does not hold: another attempt of it is there.
			k.Books.Unplace(s)
			s, quiet = nil, false
		}
		if e.Status == worker.Ended {
			k.ended(m, s, e)
			quiet = quiet && s == nil
			continue
		}
		listed[e.Task] = true
		if s == nil {
			f := k.Books.Find(m, e)
			k.Recovery.Count(m, recovery.Square(f))
			s, quiet = k.Books.Adopt(m, e, recovery.Stays(f)), false
		}
		if s.Is().Sent && !s.Is().Seen {
			order = heeded
		}
		quiet = k.Books.Shows(s, e.Status, now) && quiet
	}
	for s := range m.Slots() {
		if listed[s.Name()] || !s.Is().Sent {
			continue
		}
		quiet = false
		if s.Is().Seen || s.Is().Stop {
			k.Books.Unplace(s)
			continue
		}
		// The order never arrived, or its session was over: order it again.
		k.Books.Resend(s)
		if order == none && !newSession {
			order = unheeded
		}
	}
	return quiet, order
}

// heed is what a report shows of the last orders to start tasks.
type heed int

const (
	none heed = iota // there were none
	heeded
	unheeded
)

// evacuate saves what can be saved before the cloud takes the machine.
func (k *Keeper) evacuate(m *books.Machine, within float64) {
	for s := range m.Slots() {
		j := s.Job()
		if j == nil || s.Is().Stop {
			continue
		}
		switch rec := j.Rec(); {
		case s.Is().Planned():
			k.Books.Unplace(s)
		case rec.Kind == jobs.Gang:
			k.Books.StopGang(j)
		case rec.CheckpointS > 0 && within > rec.SaveS:
			k.Books.Halt(s, within)
		case rec.Kind == jobs.Service:
			k.Books.Halt(s, 0)
		}
	}
}

// ended handles an exited task. s is its slot, if it was in the books.
func (k *Keeper) ended(m *books.Machine, s *books.Slot, e worker.Entry) {
	ref, i, ok := jobs.ParseTask(e.Task)
	if !ok {
		return
	}
	if e.Cause == worker.CauseDone {
		if s != nil { // of a result kept until it is durable this is said again and again
			k.quarantine(k.Faults.Works(ref, m.Host(), k.limits())...)
			if since := s.Is().Since; !since.IsZero() && s.Job() != nil {
				k.Classes.Learn(s.Job().Rec(), time.Since(since).Seconds())
			}
			k.Books.Exited(s)
		}
		if r, at := k.Books.Task(ref, i); r != nil {
			if recovery.Square(k.Books.Find(m, e)) == recovery.DoneUnrecorded {
				k.Recovery.Count(m, recovery.DoneUnrecorded)
			}
			k.Books.MarkDone(r, at, s)
		}
		return
	}
	if s == nil {
		return
	}
	if e.Cause == worker.CauseError && s.Job() != nil {
		k.taskFailed(m, s)
	}
	if s.Job() != nil && e.Cause != worker.CauseStopped {
		k.log.Info("task ended", "task", e.Task, "worker", m.Host(), "attempt", e.Try, "cause", e.Cause)
	}
	k.Books.Unplace(s)
}

// taskFailed has it judged whom to blame: the machine or the job.
func (k *Keeper) taskFailed(m *books.Machine, s *books.Slot) {
	ref, now, ran := s.Job().Ref(), time.Now(), time.Duration(0)
	if since := s.Is().Since; !since.IsZero() {
		ran = now.Sub(since)
	}
	pause, sick := k.Faults.Failed(ref, m.Host(), ran, now, k.limits())
	if pause > 0 {
		k.log.Info("job fails on several machines", "job", ref, "pause_s", pause.Seconds())
	}
	if sick {
		k.quarantine(m.Host())
	}
}

// clearJobs looks whether jobs that failed somewhere run elsewhere by now, well
// beyond the time at which they failed: then the machine was at fault.
func (k *Keeper) clearJobs(now time.Time) {
	for ref, enough := range k.Faults.Open() {
		j := k.Books.Job(ref)
		if j == nil || j.Over() {
			k.Faults.ForgetJob(ref)
			continue
		}
		for r := range j.Ranges() {
			for i := range r.Len() {
				s := r.Slot(i)
				if s == nil {
					continue
				}
				if is := s.Is(); is.Status == worker.Running && !is.Since.IsZero() && now.Sub(is.Since) > enough {
					k.quarantine(k.Faults.Works(ref, s.Machine().Host(), k.limits())...)
				}
			}
		}
	}
}

func (k *Keeper) limits() blame.Limits {
	set, _ := k.Mirror.Settings()
	return blame.Limits{HostErrors: set.QuarantineErrors, JobHosts: set.JobErrorHosts}
}

// quarantine takes machines out of use that fail what works elsewhere.
func (k *Keeper) quarantine(hosts ...string) {
	for _, h := range hosts {
		if m := k.Books.Machine(h); m != nil && !m.Is().Drained {
			k.Books.Drain(m)
			k.log.Info("machine quarantined", "worker", h, "errors", k.Faults.Errors(h))
		}
	}
}

// hasOrders tells whether a machine has starts or stops waiting for an answer.
func (k *Keeper) hasOrders(m *books.Machine) bool {
	if k.Books.Waiting(m) == 0 {
		return false
	}
	mayStart := k.mayStart(time.Now())
	for s := range m.Slots() {
		is, j := s.Is(), s.Job()
		switch {
		case is.Stop && is.Sent && !is.Halted:
			return true
		case !mayStart || is.Sent || is.Stop || j == nil || s.Tentative():
		case j.Rec().Kind == jobs.Gang && !k.Books.GangReady(j):
		case k.Books.RoomNow(m).Holds(s.Need()):
			return true
		}
	}
	return false
}

// orders answers a report: stops first, then what may be forgotten, then
// starts for which there is room.
func (k *Keeper) orders(m *books.Machine, rep *worker.Report) []worker.Order {
	out := []worker.Order{}
	for s := range m.Slots() {
		if is := s.Is(); is.Stop && (!is.Halted || is.Status != worker.Saving) && is.Sent {
			leeway := is.Leeway
			out = append(out, worker.Order{Verb: worker.Halt, Task: s.Name(), Try: s.Try(), Leeway: &leeway})
			k.Books.HaltSent(s)
		}
	}
	for _, e := range rep.Tasks {
		if e.Status != worker.Ended {
			continue
		}
		ref, i, ok := jobs.ParseTask(e.Task)
		if ok && e.Cause == worker.CauseDone {
			if r, at := k.Books.Task(ref, i); r != nil && !r.Rec().Done.Has(at) {
				continue // not durable yet
			}
			if j := k.Books.Job(ref); j != nil && !j.Over() && j.Busy() {
				continue
			}
		}
		if s := m.Slot(e.Task); s != nil && s.Try() == e.Try {
			continue
		}
		out = append(out, worker.Order{Verb: worker.Forget, Task: e.Task, Try: e.Try})
	}
	if is := m.Is(); is.Recalled || is.Releasing || is.Drained {
		for s := range m.Slots() {
			if s.Is().Planned() && s.Job() != nil {
				k.Books.Unplace(s)
			}
		}
		return out
	}
	if !k.mayStart(time.Now()) {
		return out
	}
	for s := range m.Slots() {
		is, j := s.Is(), s.Job()
		if is.Sent || is.Stop || j == nil || s.Tentative() {
			continue
		}
		if j.Rec().Kind == jobs.Gang {
			if !k.Books.GangReady(j) {
				continue
			}
			if k.Books.StartGang(j) {
				try, _ := j.Attempt()
				k.log.Info("gang starts", "job", j.Ref(), "tasks", j.Rec().Tasks, "attempt", try, "share", m.Rec().Share,
					"waited_s", j.Age(time.Now()).Seconds())
			}
		}
		if !k.Books.RoomNow(m).Holds(s.Need()) {
			continue
		}
		k.Books.LaunchSent(s)
		out = append(out, worker.Order{Verb: worker.Launch, Task: s.Name(), Try: s.Try()})
	}
	return out
}
