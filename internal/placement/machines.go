package placement

import (
	"slices"
	"sort"
	"strings"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"
)

// machine is a worker as this controller knows it. What it runs is known only
// for workers of the shares held here.
type machine struct {
	host  string
	rec   worker.Record
	stamp uint64

	heard     bool // reported under the present baton
	gone      bool // its lease has run out, or it never was heard in time
	goneAt    time.Time
	deadWatch uint64 // sessions up to this one are over
	known     time.Time
	reported  time.Time
	slots     map[string]*slot
	recall    bool
	releasing bool
	released  bool // the cloud has confirmed that it is gone
	surplus   bool // an ordinary machine that is wanted empty, to be returned
	drained   bool // fails every task: used no more
	errors    int
	errorJobs map[string]bool
	idleSince time.Time
	empty     bool       // the last report listed no task, not even an exited one
	moving    bool       // a write that gives it to another share is under way
	parked    *reportMsg // a report that is not answered yet
	images    map[string]time.Time
	sums      sums
	greet     bool // to be greeted
	listed    bool // among those whose counts have changed
	stale     bool // sums are to be made again before they are used
}

// sums are what the slots of a machine add up to. Decisions ask for them far
// more often than slots change.
type sums struct {
	room capacity.Vec // free once all that is told to stop has stopped
	// under is room and what work below a priority takes besides; arrays is the
	// same for tasks that are stopped one by one.
	under, arrays [jobs.Priorities + 1]capacity.Vec
	waiting       int // slots with a start or stop that was not ordered yet
	services      int
}

func (a *Actor) sum(m *machine) *sums {
	if !m.stale {
		return &m.sums
	}
	m.stale = false
	var t sums
	t.room, _ = a.total(m)
	for _, s := range m.slots {
		if s.stop && s.sent && !s.halted || !s.sent && !s.stop {
			t.waiting++
		}
		if s.stop {
			continue
		}
		t.room = t.room.Sub(s.need)
		if s.r == nil {
			continue
		}
		rec := &s.r.job.rec
		if rec.Kind == jobs.Service {
			t.services++
		}
		for p := rec.Priority() + 1; p <= jobs.Priorities; p++ {
			t.under[p] = t.under[p].Add(s.need)
			if rec.Kind != jobs.Gang {
				t.arrays[p] = t.arrays[p].Add(s.need)
			}
		}
	}
	for p := range t.under {
		t.under[p], t.arrays[p] = t.under[p].Add(t.room), t.arrays[p].Add(t.room)
	}
	m.sums = t
	return &m.sums
}

// order is the age of a report: session and count.
type order struct{ watch, tick uint64 }

func (o order) before(p order) bool {
	return o.watch < p.watch || (o.watch == p.watch && o.tick <= p.tick)
}

// slot is a task's place on a machine, from the plan until it is gone.
type slot struct {
	m      *machine
	name   string
	r      *taskRange // nil: no task of ours; only to be stopped
	i      int
	try    uint64
	need   capacity.Vec
	sent   bool // a launch was ordered
	seen   bool // the worker has reported it
	status string
	since  time.Time // running since, as far as known
	stop   bool
	leeway float64
	halted bool // a halt was ordered
	ckpt   float64
}

// total is what the machine's type offers.
func (a *Actor) total(m *machine) (capacity.Vec, bool) {
	f, ok := a.flavors[m.rec.Build]
	return capacity.Vec{CPU: f.CPU, GPU: f.GPU, Mem: f.MemGB}, ok
}

// room is what is free once all that is told to stop has stopped.
func (a *Actor) room(m *machine) capacity.Vec { return a.sum(m).room }

// roomNow is what is free when the orders of this answer are executed: tasks
// that save before they exit still take their place.
func (a *Actor) roomNow(m *machine) capacity.Vec {
	v, _ := a.total(m)
	for _, s := range m.slots {
		if (s.sent || s.seen) && !(s.stop && s.atOnce()) {
			v = v.Sub(s.need)
		}
	}
	return v
}

// atOnce tells whether a halt ends the task without saving.
func (s *slot) atOnce() bool {
	return s.status != worker.Saving && (s.leeway == 0 || s.ckpt == 0 || s.status != worker.Running)
}

func (a *Actor) usable(m *machine) bool {
	return m.heard && !m.gone && !m.recall && !m.releasing && !m.moving && !m.drained && a.holds(m) != nil
}

// holds returns the machine's share if it is held here.
func (a *Actor) holds(m *machine) *shareEntry {
	s := a.shares[m.rec.Share]
	if s == nil || !s.mine {
		return nil
	}
	return s
}

func (a *Actor) group(m *machine) capacity.Group {
	return capacity.Group{Zone: m.rec.Zone, Build: m.rec.Build, Spot: m.rec.Spot, Surplus: m.surplus}
}

// recount notes that the machine's part of the counts has changed. It is made
// up for when the counts are asked for: see counts.
func (a *Actor) recount(m *machine) {
	m.stale = true
	if !m.listed {
		m.listed = true
		a.changed = append(a.changed, m)
	}
	busy := len(m.slots) > 0
	if busy {
		m.idleSince = time.Time{}
	} else if m.idleSince.IsZero() {
		m.idleSince = time.Now()
	}
	a.dirty = true
}

// counts brings the tables up to date with the machines that changed.
func (a *Actor) counts() *capacity.Table {
	for _, m := range a.changed {
		m.listed = false
		if o := a.workers[m.host]; o != nil && o != m {
			continue // known anew under this name
		}
		if _, known := a.total(m); known && a.usable(m) && a.workers[m.host] != nil {
			t := a.sum(m)
			a.table.Set(m.host, a.group(m), t.room)
			for p := range a.under {
				a.under[p].Set(m.host, a.group(m), t.under[p])
			}
		} else {
			a.table.Remove(m.host)
			for p := range a.under {
				a.under[p].Remove(m.host)
			}
		}
	}
	a.changed = a.changed[:0]
	return a.table
}

// held lists the workers of the shares held here, in the order of their names.
func (a *Actor) held() []*machine {
	if a.heldOld {
		a.heldOld = false
		a.heldList = a.heldList[:0]
		for _, m := range a.workers {
			if a.holds(m) != nil {
				a.heldList = append(a.heldList, m)
			}
		}
		slices.SortFunc(a.heldList, func(x, y *machine) int { return strings.Compare(x.host, y.host) })
	}
	return a.heldList
}

func (a *Actor) workerChanged(host string, rec worker.Record, stamp uint64) {
	m := a.workers[host]
	if m == nil {
		m = &machine{host: host}
		a.workers[host] = m
		a.forgetMachine(m)
	}
	if m.stamp >= stamp {
		return
	}
	if m.rec.Share != rec.Share {
		a.forgetMachine(m)
		m.heard, m.gone = false, false
	}
	moved := m.stamp > 0 && m.rec.Share != rec.Share
	m.rec, m.stamp = rec, stamp
	a.heldOld = true
	m.known = time.Now()
	a.recount(m)
	if moved && a.synced && a.holds(m) != nil {
		a.greet(m)
	}
}

// forgetMachine drops what was known of the machine's tasks.
func (a *Actor) forgetMachine(m *machine) {
	for _, s := range m.slots {
		if s.r != nil && s.i < len(s.r.tasks) && s.r.tasks[s.i].slot == s {
			s.r.put(s.i, unknown, nil)
		}
	}
	m.slots = map[string]*slot{}
	if m.images == nil {
		m.images = map[string]time.Time{}
		m.errorJobs = map[string]bool{}
	}
	m.releasing, m.moving, m.empty, m.idleSince = false, false, false, time.Time{}
	a.recount(m)
}

func (a *Actor) workerDropped(m *machine) {
	a.lost(m)
	delete(a.workers, m.host)
	delete(a.order, m.host)
	a.heldOld = true
	a.recount(m)
}

// lost takes all tasks off a machine that is provably gone.
func (a *Actor) lost(m *machine) {
	// Of other holders' machines it is not known whether they were returned.
	if !m.gone && !m.releasing && a.holds(m) != nil {
		a.failures = append(a.failures, time.Now())
		if len(a.failures) > tuning.MaxFailures {
			a.failures = a.failures[1:]
		}
	}
	for _, s := range m.slots {
		a.unplace(s)
	}
	m.gone, m.goneAt = true, time.Now()
	a.recount(m)
}

// place plans a task on a machine.
func (a *Actor) place(r *taskRange, i int, m *machine, try uint64) *slot {
	j := r.job
	s := &slot{m: m, name: jobs.TaskName(j.ref, r.first+i), r: r, i: i, try: try, need: j.need, ckpt: j.rec.CheckpointS}
	m.slots[s.name] = s
	r.put(i, placed, s)
	r.stuck = time.Time{}
	a.recount(m)
	return s
}

// unplace frees a task whose slot is certainly on no machine (any more).
func (a *Actor) unplace(s *slot) {
	if s.m.slots[s.name] == s {
		delete(s.m.slots, s.name)
	}
	if s.r != nil && s.i < len(s.r.tasks) && s.r.tasks[s.i].slot == s {
		s.r.put(s.i, ready, nil)
		if g := &s.r.job.gang; s.r.job.rec.Kind == jobs.Gang && g.started && s.try == g.try {
			g.broken = true
		}
	}
	a.recount(s.m)
}

// disown stops a slot whose task is of no interest any more.
func (a *Actor) disown(s *slot) {
	if !s.sent && !s.seen {
		s.r = nil
		a.unplace(s)
		return
	}
	s.r = nil
	a.halt(s, 0)
}

// halt marks a slot to be stopped. More grace than before is never given.
func (a *Actor) halt(s *slot, leeway float64) {
	if s.stop && leeway >= s.leeway {
		return
	}
	s.stop, s.leeway, s.halted = true, leeway, false
	a.recount(s.m)
}

// Verdict is the reply to a report.
type Verdict struct {
	Status int
	Herald string
	Answer worker.Answer
}

// Report handles a worker's report; the verdict is sent to reply.
type reportMsg struct {
	rep   *worker.Report
	at    time.Time
	reply chan Verdict
	held  bool
}

// Report asks the actor for the answer to a report.
func (a *Actor) Report(rep *worker.Report, reply chan Verdict) {
	a.tell(&reportMsg{rep: rep, at: time.Now(), reply: reply})
}

func (q *reportMsg) apply(a *Actor) {
	if !a.synced || time.Since(q.at) > tuning.ReportLate {
		q.reply <- Verdict{Status: 503}
		return
	}
	m := a.workers[q.rep.Host]
	if m == nil {
		a.enrol(q)
		return
	}
	baton, v := a.entitled(q, m)
	if v.Status != 0 {
		q.reply <- v
		return
	}
	at := order{q.rep.Watch, q.rep.Tick}
	if at.before(a.order[m.host]) {
		q.reply <- Verdict{Status: 503} // a late report: the worker has said more since
		return
	}
	if m.parked != nil {
		m.parked.reply <- Verdict{Status: 503} // given up on by the worker
		m.parked = nil
	}
	if q.rep.Baton != baton {
		// Sent before the worker knew of this holder, perhaps held up by a cut
		// for minutes: the holder before may have moved its tasks since. It
		// counts for nothing but to tell the worker the baton.
		a.order[m.host], m.reported, m.gone = at, q.at, false
		q.reply <- Verdict{Status: 200, Answer: worker.Answer{Baton: baton, Orders: []worker.Order{}}}
		return
	}
	a.hear(m, q.rep, q.at)
	if a.dirty && time.Since(a.lastDecide) > tuning.DecideLeast {
		a.decide() // so that what takes the freed room goes out with this answer
	}
	m.parked = q
	a.unpark(m)
}

// hear takes in a report under the present baton.
func (a *Actor) hear(m *machine, rep *worker.Report, at time.Time) {
	newSession := rep.Watch > a.order[m.host].watch
	a.order[m.host] = order{rep.Watch, rep.Tick}
	m.reported = at
	quiet := !m.gone && !newSession
	m.gone = false
	quiet = a.absorb(m, rep, newSession) && quiet
	m.empty = len(rep.Tasks) == 0
	if !m.heard {
		quiet = false
		m.heard = true
		a.settle(a.holds(m), time.Now())
	}
	if !quiet { // most reports say nothing new, and no decision follows from them
		a.recount(m)
	}
}

// entitled tells whether a report may be answered, and with which baton; the
// verdict is set if not.
func (a *Actor) entitled(q *reportMsg, m *machine) (uint64, Verdict) {
	s := a.holds(m)
	if s == nil {
		v := Verdict{Status: 421}
		if h := a.shares[m.rec.Share]; h != nil && h.Holder != a.cfg.Node && a.isLive(h.Holder, h.Boot) {
			v.Herald = h.Holder
		}
		return 0, v
	}
	if holder, yes := a.superseded(s); yes {
		return 0, Verdict{Status: 421, Herald: holder}
	}
	baton := max(s.stamp, m.stamp)
	if !a.mayAnswer(time.Now()) || q.rep.Baton > baton || q.rep.Watch <= m.deadWatch {
		return 0, Verdict{Status: 503}
	}
	return baton, Verdict{}
}

// unpark answers a worker's report, or keeps it a moment longer if there is
// nothing to say: a launch that is decided meanwhile then needs no further
// report. It is kept no longer than the worker would be silent anyway (a
// change is reported half a second after the last report at the earliest), or,
// for a worker without tasks, for a part of its report interval.
func (a *Actor) unpark(m *machine) {
	q := m.parked
	if q == nil {
		return
	}
	if a.workers[m.host] != m {
		m.parked = nil
		q.reply <- Verdict{Status: 503}
		return
	}
	baton, v := a.entitled(q, m)
	if v.Status != 0 {
		m.parked = nil
		q.reply <- v
		return
	}
	hold := tuning.HoldBusy
	if len(m.slots) == 0 && len(q.rep.Tasks) == 0 {
		hold = max(hold, min(tuning.HoldIdle, config.Seconds(a.cfg.Cluster.Workers.ReportS/2)))
	}
	left := hold - time.Since(q.at)
	if left > 0 && q.rep.Baton == baton && a.usable(m) && !a.hasOrders(m) {
		if !q.held {
			q.held = true
			time.AfterFunc(left, func() {
				a.tell(call(func(a *Actor) {
					if m.parked == q {
						a.unpark(m)
					}
				}))
			})
		}
		return
	}
	m.parked = nil
	q.reply <- Verdict{Status: 200, Answer: worker.Answer{Baton: baton, Orders: a.orders(m, q.rep)}}
}

// hasOrders tells whether a machine has starts or stops waiting for an answer.
func (a *Actor) hasOrders(m *machine) bool {
	if a.sum(m).waiting == 0 {
		return false
	}
	for _, s := range m.slots {
		switch {
		case s.stop && s.sent && !s.halted:
			return true
		case s.sent || s.stop || s.r == nil || s.r.tentative:
		case s.r.job.rec.Kind == jobs.Gang && !a.gangReady(s.r.job):
		case a.roomNow(m).Holds(s.need):
			return true
		}
	}
	return false
}

// enrol gives an unknown worker to a share, durably, before answering it.
func (a *Actor) enrol(q *reportMsg) {
	if time.Since(a.fresh) > tuning.GrantTTL {
		q.reply <- Verdict{Status: 503}
		return
	}
	key := jobs.WorkerPrefix + q.rep.Host
	if a.taking[key] {
		q.reply <- Verdict{Status: 503}
		return
	}
	share := a.leastShare(q.rep.Zone, q.rep.Build)
	s := a.shares[share]
	if s == nil {
		q.reply <- Verdict{Status: 503}
		return
	}
	a.taking[key] = true
	a.txn(state.Normal, state.Txn{
		If: []state.Cond{{Key: key}, {Key: jobs.SharePrefix + share, Stamp: s.stamp}},
		Writes: []state.Write{{Key: key, Value: encode(worker.Record{Share: share, Addr: q.rep.Addr,
			Build: q.rep.Build, Zone: q.rep.Zone, Spot: q.rep.Spot, SinceMS: time.Now().UnixMilli()})}},
	}, func(res state.Result, err error) {
		delete(a.taking, key)
		if a.workers[q.rep.Host] == nil {
			q.reply <- Verdict{Status: 503}
			return
		}
		a.log.Info("worker enrolled", "worker", q.rep.Host, "share", a.workers[q.rep.Host].rec.Share,
			"build", q.rep.Build, "zone", q.rep.Zone, "spot", q.rep.Spot)
		q.apply(a)
	})
}

// leastShare picks the share of a new worker: one whose home is in the worker's
// zone, and of these the one with the fewest workers of the type.
func (a *Actor) leastShare(zone, build string) string {
	var local, all []string
	for _, p := range a.members {
		all = append(all, p.Node)
		if p.Zone == zone {
			local = append(local, p.Node)
		}
	}
	if len(local) == 0 {
		local = all
	}
	slices.Sort(local)
	best, least := "", 0
	for _, n := range local {
		c := 0
		for _, m := range a.workers {
			if m.rec.Share == n && m.rec.Build == build && !m.gone {
				c++
			}
		}
		if best == "" || c < least {
			best, least = n, c
		}
	}
	return best
}

// absorb takes a report in: what it lists is there, what was ordered before
// and is not listed is not there.
// quiet tells that it says nothing new of tasks or notices.
func (a *Actor) absorb(m *machine, rep *worker.Report, newSession bool) (quiet bool) {
	now := time.Now()
	quiet = true
	if rep.Recall != nil {
		if !m.recall {
			a.log.Info("machine recalled", "worker", m.host, "in_s", *rep.Recall)
			m.recall, quiet = true, false
			a.evacuate(m, *rep.Recall)
		}
	}
	if newSession {
		m.images = map[string]time.Time{}
	}
	listed := map[string]bool{}
	for _, e := range rep.Tasks {
		s := m.slots[e.Task]
		if s != nil && s.try != e.Try {
			if e.Status == worker.Ended {
				continue // an older attempt's leftover: orders forgets it
			}
			// The plan does not hold: another attempt of it is there.
			a.unplace(s)
			s, quiet = nil, false
		}
		if e.Status == worker.Ended {
			a.ended(m, s, e)
			quiet = quiet && s == nil
			continue
		}
		listed[e.Task] = true
		if s == nil {
			s, quiet = a.adopt(m, e), false
		}
		quiet = quiet && s.seen && s.status == e.Status
		if e.Status == worker.Running && s.status != worker.Running {
			s.since = now
		}
		s.seen, s.sent, s.status = true, true, e.Status
		if e.Status != worker.Pulling && s.r != nil {
			m.images[s.r.job.rec.Image] = now
		}
	}
	for name, s := range m.slots {
		if listed[name] || !s.sent {
			continue
		}
		quiet = false
		if s.seen || s.stop {
			a.unplace(s)
			continue
		}
		// The order never arrived, or its session was over: order it again.
		s.sent = false
	}
	return quiet
}

// adopt books a task that a worker runs and that is not in the books there.
func (a *Actor) adopt(m *machine, e worker.Entry) *slot {
	s := &slot{m: m, name: e.Task, try: e.Try, sent: true, seen: true, status: e.Status}
	m.slots[e.Task] = s
	ref, i, ok := jobs.ParseTask(e.Task)
	r, at := (*taskRange)(nil), 0
	if ok {
		r, at = a.taskOf(ref, i)
	}
	if j := a.jobs[ref]; j != nil {
		s.need, s.ckpt = j.need, j.rec.CheckpointS
	}
	if r == nil || r.rec.Share != m.rec.Share || r.tasks[at].st == finished || r.tasks[at].st == placed {
		if r != nil && r.tasks[at].st == placed {
			a.log.Error("task reported on a second worker", "task", e.Task, "worker", m.host,
				"attempt", e.Try, "other", r.tasks[at].slot.m.host)
		}
		s.stop = true
		return s
	}
	s.r, s.i = r, at
	r.put(at, placed, s)
	if g := &r.job.gang; r.job.rec.Kind == jobs.Gang {
		switch {
		case g.try == 0 || !g.started:
			*g = gangRun{try: e.Try, started: true}
		case g.try != e.Try:
			g.broken = true
		}
	}
	return s
}

// ended handles an exited task. s is its slot, if it was in the books.
func (a *Actor) ended(m *machine, s *slot, e worker.Entry) {
	ref, i, ok := jobs.ParseTask(e.Task)
	if !ok {
		return
	}
	if e.Cause == worker.CauseDone {
		m.errors, m.errorJobs = 0, map[string]bool{}
		if s != nil {
			s.seen = true
			delete(m.slots, s.name)
			defer a.recount(m)
			if s.since != (time.Time{}) && s.r != nil {
				a.learn(s.r.job, time.Since(s.since).Seconds())
			}
		}
		if r, at := a.taskOf(ref, i); r != nil {
			if s != nil && r.tasks[at].slot == s {
				r.put(at, ready, nil)
			}
			a.markDone(r, at)
		}
		return
	}
	if s == nil {
		return
	}
	if e.Cause == worker.CauseError && s.r != nil {
		a.taskFailed(m, s.r.job, e)
	}
	if s.r != nil && e.Cause != worker.CauseStopped {
		a.log.Info("task ended", "task", e.Task, "worker", m.host, "attempt", e.Try, "cause", e.Cause)
	}
	a.unplace(s)
}

// taskFailed decides whom to blame: a machine that fails several tasks, or a
// job that fails on several machines.
func (a *Actor) taskFailed(m *machine, j *job, e worker.Entry) {
	m.errors++
	m.errorJobs[j.ref] = true
	j.badOn[m.host] = true
	if len(j.badOn) >= a.settings.JobErrorHosts {
		j.fails++
		pause := min(tuning.JobBackoff<<min(j.fails-1, 10), tuning.JobBackoffMax)
		j.backoff = time.Now().Add(pause)
		a.log.Info("job fails on several machines", "job", j.ref, "pause_s", pause.Seconds())
		// The machines are healthy, as far as this job can tell.
		for host := range j.badOn {
			if o := a.workers[host]; o != nil && len(o.errorJobs) <= 1 {
				o.drained, o.errors = false, 0
				o.errorJobs = map[string]bool{}
				a.recount(o)
			}
		}
		j.badOn = map[string]bool{}
		return
	}
	if (m.errors >= a.settings.QuarantineErrors || len(m.errorJobs) > 1) && !m.drained {
		m.drained = true
		a.log.Info("machine quarantined", "worker", m.host, "errors", m.errors)
	}
}

// evacuate saves what can be saved before the cloud takes the machine.
func (a *Actor) evacuate(m *machine, within float64) {
	for _, s := range m.slots {
		if s.r == nil || s.stop {
			continue
		}
		j := s.r.job
		if !s.sent && !s.seen {
			a.unplace(s)
			continue
		}
		if j.rec.Kind == jobs.Gang {
			a.stopGang(j)
		} else if j.rec.CheckpointS > 0 && within > j.rec.SaveS {
			a.halt(s, within)
		} else if j.rec.Kind == jobs.Service {
			a.halt(s, 0)
		}
	}
}

// stopGang stops all tasks of a gang with time to save.
func (a *Actor) stopGang(j *job) {
	j.gang.broken = true
	a.haltGang(j, j.rec.SaveS+a.cfg.Cluster.Workers.GangPeerS)
}

// haltGang stops what is left of a gang; tasks that are stopping already keep
// the time they were given.
func (a *Actor) haltGang(j *job, leeway float64) {
	for _, r := range j.ranges {
		for i := range r.tasks {
			s := r.tasks[i].slot
			if s == nil {
				continue
			}
			if !s.sent && !s.seen {
				a.unplace(s)
			} else if !s.stop {
				a.halt(s, leeway)
			}
		}
	}
}

// orders answers a report: stops first, then what may be forgotten, then
// starts for which there is room.
func (a *Actor) orders(m *machine, rep *worker.Report) []worker.Order {
	out := []worker.Order{}
	for _, s := range m.slots {
		if s.stop && (!s.halted || s.status != worker.Saving) && s.sent {
			leeway := s.leeway
			out = append(out, worker.Order{Verb: worker.Halt, Task: s.name, Try: s.try, Leeway: &leeway})
			s.halted, m.stale = true, true
		}
	}
	for _, e := range rep.Tasks {
		if e.Status != worker.Ended {
			continue
		}
		ref, i, ok := jobs.ParseTask(e.Task)
		if ok && e.Cause == worker.CauseDone {
			if r, at := a.taskOf(ref, i); r != nil && !r.rec.Done.Has(at) {
				continue // not durable yet
			}
			if j := a.jobs[ref]; j != nil && !j.dead && j.busy {
				continue
			}
		}
		if s := m.slots[e.Task]; s != nil && s.try == e.Try {
			continue
		}
		out = append(out, worker.Order{Verb: worker.Forget, Task: e.Task, Try: e.Try})
	}
	if m.recall || m.releasing || m.drained {
		for _, s := range m.slots {
			if !s.sent && !s.seen && s.r != nil {
				a.unplace(s)
			}
		}
		return out
	}
	for _, s := range m.slots {
		if s.sent || s.stop || s.r == nil || s.r.tentative {
			continue
		}
		if s.r.job.rec.Kind == jobs.Gang {
			if !a.gangReady(s.r.job) {
				continue
			}
			if j := s.r.job; !j.gang.started {
				j.gang.started = true
				a.log.Info("gang starts", "job", j.ref, "tasks", j.rec.Tasks, "attempt", j.gang.try, "share", m.rec.Share,
					"waited_s", float64(time.Now().UnixMilli()-j.rec.AcceptedMS)/1000)
			}
		}
		if !a.roomNow(m).Holds(s.need) {
			continue
		}
		s.sent, m.stale = true, true
		out = append(out, worker.Order{Verb: worker.Launch, Task: s.name, Try: s.try})
	}
	return out
}

// gangReady tells whether a gang's tasks may be told to start: a gang starts
// only when all its tasks fit in one round.
func (a *Actor) gangReady(j *job) bool {
	if j.gang.broken {
		return false
	}
	if j.gang.started {
		return true
	}
	wants := map[*machine]capacity.Vec{}
	for _, r := range j.ranges {
		for i := range r.tasks {
			s := r.tasks[i].slot
			if s == nil {
				return false
			}
			wants[s.m] = wants[s.m].Add(s.need)
		}
	}
	for m, v := range wants {
		if !a.roomNow(m).Holds(v) {
			return false
		}
	}
	return true
}

// lookForGone reads the machine list while a worker that should report does
// not: one that is listed as failed, or no longer listed, is gone, and its
// tasks need not wait for its lease. A list may describe a moment up to twice
// its lag ago, so only machines that were up before that count as missing.
func (a *Actor) lookForGone(now time.Time) {
	lag := config.Seconds(2 * a.cfg.Cluster.Cloud.ListLagS)
	suspect := func(m *machine) bool {
		if a.holds(m) == nil || m.released || m.gone && m.heard {
			return false
		}
		return a.silence(m, now) > 3*config.Seconds(a.cfg.Cluster.Workers.ReportS)
	}
	if a.listing || now.Sub(a.listed) < tuning.ListSuspects || now.Sub(a.fresh) > tuning.GrantTTL {
		return
	}
	any := false
	for _, m := range a.held() {
		any = any || suspect(m)
	}
	if !any {
		return
	}
	a.listing = true
	asked := time.Now()
	go func() {
		list, err := a.cl.List(a.ctx)
		a.tell(call(func(a *Actor) {
			a.listing, a.listed = false, time.Now()
			if err != nil {
				return
			}
			status := map[string]string{}
			for _, x := range list {
				status[x.Host] = x.Status
			}
			now = time.Now()
			for _, m := range a.held() {
				st, there := status[m.host]
				old := asked.UnixMilli()-m.rec.SinceMS > (lag + tuning.ListMargin).Milliseconds()
				if suspect(m) && (st == "failed" || !there && old) {
					a.log.Info("machine gone from the list", "worker", m.host, "status", st, "tasks", len(m.slots))
					m.released = true
					m.deadWatch = ^uint64(0)
					a.lost(m)
				}
			}
		}))
	}()
}

// checkWorkers notes the workers whose leases have run out.
func (a *Actor) checkWorkers(now time.Time) {
	a.lookForGone(now)
	for _, m := range a.held() {
		if !m.gone && m.heard && now.Sub(m.reported) > a.leaseOver() {
			a.log.Info("worker silent, its lease is over", "worker", m.host, "tasks", len(m.slots))
			m.deadWatch = a.order[m.host].watch
			a.lost(m)
		}
		// Known only by its record, or by a report that came late: nobody can
		// have kept it alive for so long.
		if !m.gone && !m.heard && a.silence(m, now) > a.tenureOver() {
			a.lost(m)
		}
		if now.Sub(a.fresh) > tuning.GrantTTL {
			continue
		}
		switch {
		case m.released && !m.releasing:
			m.releasing = true
			a.dropWorker(m, a.holds(m))
		case m.gone && now.Sub(m.goneAt) > tuning.SilentRelease:
			a.release(m)
		case !m.gone && !m.heard && a.silence(m, now) > a.oldTenure()+tuning.ComeOver:
			// Its old holder has had to stop answering it and it has not come:
			// it is most likely dead, and its return proves it.
			a.release(m)
		}
		if slices.Contains(a.settings.Drain, m.host) && !m.drained {
			a.log.Info("machine drained by the operators", "worker", m.host)
			m.drained = true
			a.recount(m)
		}
		if m.drained && !m.releasing {
			stopped := true
			for _, s := range m.slots {
				if s.r != nil && !s.stop {
					if s.r.job.rec.Kind == jobs.Gang {
						a.stopGang(s.r.job)
					} else {
						a.halt(s, s.r.job.rec.SaveS+1)
					}
				}
				stopped = false
			}
			if stopped {
				a.release(m)
			}
		}
	}
	for _, s := range a.shares {
		a.settle(s, now)
		a.settlePart(s)
	}
}

// silence is how long a worker of a share held here has said nothing, counted
// from the taking of the share or its record at the earliest.
func (a *Actor) silence(m *machine, now time.Time) time.Duration {
	return min(now.Sub(a.holds(m).since), now.Sub(m.known), now.Sub(m.reported))
}

// release returns a machine; once the cloud confirms, it and its tasks are
// gone, and its record goes too.
func (a *Actor) release(m *machine) {
	if m.releasing {
		return
	}
	m.releasing = true
	a.recount(m)
	a.returns = append(a.returns, m)
}

// sendReturns asks the cloud to take back what was released since the last
// time, in one request: the cloud takes few of them.
func (a *Actor) sendReturns() {
	if a.returning || len(a.returns) == 0 || time.Since(a.returnedAt) < tuning.ReturnEvery {
		return
	}
	var ms []*machine
	var hosts []string
	for len(a.returns) > 0 && len(hosts) < tuning.MaxReleaseAtOnce {
		m := a.returns[0]
		a.returns = a.returns[1:]
		// What changed hands meanwhile is for its new holder to judge.
		if a.workers[m.host] == m && m.releasing && a.holds(m) != nil {
			ms, hosts = append(ms, m), append(hosts, m.host)
		}
	}
	if len(hosts) == 0 {
		return
	}
	a.returning, a.returnedAt = true, time.Now()
	go func() {
		err := a.cl.Release(a.ctx, hosts)
		a.tell(call(func(a *Actor) {
			a.returning = false
			if err != nil {
				a.log.Info("release failed", "workers", hosts, "error", err)
			}
			for _, m := range ms {
				a.returned(m, err)
			}
		}))
	}()
}

// returned notes the outcome of a machine's return.
func (a *Actor) returned(m *machine, err error) {
	s := a.holds(m)
	if a.workers[m.host] != m {
		return
	}
	if err != nil && s == nil {
		return
	}
	if err != nil {
		time.AfterFunc(tuning.RetryMax, func() {
			a.tell(call(func(a *Actor) { m.releasing = false; a.recount(m) }))
		})
		return
	}
	a.log.Info("machine returned", "worker", m.host, "silent", m.gone)
	m.released = true
	m.deadWatch = ^uint64(0) // nothing it may have said before counts now
	a.lost(m)
	if s != nil {
		a.dropWorker(m, s)
	}
}

func (a *Actor) dropWorker(m *machine, s *shareEntry) {
	a.txn(state.Background, state.Txn{
		If: []state.Cond{{Key: jobs.WorkerPrefix + m.host, Stamp: m.stamp},
			{Key: jobs.SharePrefix + s.id, Stamp: s.stamp}},
		Writes: []state.Write{{Drop: jobs.WorkerPrefix + m.host}},
	}, func(res state.Result, err error) {
		if err != nil {
			time.AfterFunc(tuning.RetryMax, func() {
				a.tell(call(func(a *Actor) {
					if s := a.holds(m); s != nil && a.workers[m.host] == m {
						a.dropWorker(m, s)
					}
				}))
			})
		}
	})
}

// keepIdle is how long a machine for which nothing is expected is kept: as long
// as the money it costs meanwhile is half of what a new ordinary one costs while
// it boots. A cheap machine is kept longer: the next may not be had as cheaply.
func (a *Actor) keepIdle(m *machine) time.Duration {
	f := a.flavors[m.rec.Build]
	keep := max(config.Seconds(f.StartupS/2), tuning.IdleLeast)
	if m.rec.Spot && f.SpotHourly > 0 {
		keep = time.Duration(float64(keep) * f.Hourly / f.SpotHourly)
	}
	return min(keep, tuning.IdleMost)
}

// returnIdle returns machines that have had nothing to do for a while.
func (a *Actor) returnIdle(now time.Time) {
	// Without the state service the record of a returned machine would stay,
	// and the next holder of the share would wait for a worker that is no more.
	if now.Sub(a.fresh) > tuning.GrantTTL {
		return
	}
	growths := a.growths(now)
	defer a.markSurplus(growths)
	spare := map[string][]int{} // per share, the tasks of each growth that fit
	for _, m := range a.held() {
		if !a.usable(m) {
			continue
		}
		if spare[m.rec.Share] == nil {
			spare[m.rec.Share] = make([]int, len(growths))
		}
		for i, g := range growths {
			spare[m.rec.Share][i] += a.lendable(m, g)
		}
	}
	var waiting []*job
	for _, j := range a.jobs {
		if !j.dead && j.rec.Kind != jobs.Array && (len(j.rec.Free) > 0 || a.waiting(j)) && !now.Before(j.backoff) {
			waiting = append(waiting, j)
		}
	}
	idle := map[string]int{}
	for _, m := range a.held() {
		if a.usable(m) && len(m.slots) == 0 {
			idle[m.rec.Share]++
		}
	}
next:
	for _, m := range a.held() {
		if !a.usable(m) || len(m.slots) > 0 || m.idleSince.IsZero() || now.Sub(m.idleSince) < a.keepIdle(m) {
			continue
		}
		if idle[m.rec.Share] <= a.settings.SpareMachines {
			continue
		}
		if a.wantedBy(m, waiting) {
			continue
		}
		// A machine in whose room the next urgent jobs are expected stays.
		for i, g := range growths {
			if n := a.lendable(m, g); n > 0 && float64(spare[m.rec.Share][i]-n) < g.x/float64(len(a.members)) {
				continue next
			}
		}
		for i, g := range growths {
			spare[m.rec.Share][i] -= a.lendable(m, g)
		}
		idle[m.rec.Share]--
		a.release(m)
	}
}

// wantedBy tells whether a waiting gang may need the machine: returned while
// the others that it needs boot, it would have to be rented again.
func (a *Actor) wantedBy(m *machine, waiting []*job) bool {
	return slices.ContainsFunc(waiting, func(j *job) bool {
		return allowed(&j.rec, a.group(m)) && capacity.Fit(a.room(m), j.need) > 0
	})
}

// markSurplus finds the ordinary machines that neither hold work that had to
// go there nor are needed for the next urgent jobs. Lent to arrays for ever,
// they would never fall empty.
func (a *Actor) markSurplus(growths []growth) {
	var ms []*machine
	for _, m := range a.held() {
		if a.usable(m) {
			ms = append(ms, m)
		} else {
			m.surplus = false
		}
	}
	// The fullest are kept for the buffers, so that the emptiest fall empty.
	sort.Slice(ms, func(i, k int) bool {
		if x, y := len(ms[i].slots), len(ms[k].slots); x != y {
			return x > y
		}
		return ms[i].host < ms[k].host
	})
	kept := map[string][]int{}
	for _, m := range ms {
		k := kept[m.rec.Share]
		if k == nil {
			k = make([]int, len(growths))
			kept[m.rec.Share] = k
		}
		surplus := !m.rec.Spot
		for _, s := range m.slots {
			if s.r != nil && (s.r.job.rec.Kind != jobs.Array || !s.r.job.rec.Spot) {
				surplus = false
			}
		}
		for i, g := range growths {
			n := a.lendable(m, g)
			if n > 0 && float64(k[i]) < g.x/float64(len(a.members)) {
				surplus = false
			}
			if !surplus {
				k[i] += n
			}
		}
		if m.surplus != surplus {
			m.surplus = surplus
			a.recount(m)
		}
	}
}

// lendable is how many tasks of a growth buffer a machine could take, lower
// work set aside.
func (a *Actor) lendable(m *machine, g growth) int {
	if !allowed(g.rec, a.group(m)) {
		return 0
	}
	return capacity.Fit(a.sum(m).arrays[g.rec.Priority()], g.need)
}

// describe logs what the machines of a share are used for.
func (a *Actor) describe() {
	for _, s := range a.mine() {
		var idle, surplus, spot, busy, closed int
		var used, total capacity.Vec
		var ordinary, gangs, arrays, fetching float64 // CPUs: of ordinary machines, and what uses them
		for _, m := range a.held() {
			if m.rec.Share != s.id {
				continue
			}
			if !a.usable(m) {
				closed++
				continue
			}
			t, _ := a.total(m)
			total = total.Add(t)
			used = used.Add(t.Sub(a.room(m)))
			if !m.rec.Spot {
				ordinary += t.CPU
			}
			for _, sl := range m.slots {
				switch {
				case sl.status == worker.Pulling || sl.status == worker.Gathering:
					fetching += sl.need.CPU
				case m.rec.Spot || sl.r == nil:
				case sl.r.job.rec.Kind == jobs.Array:
					arrays += sl.need.CPU
				default:
					gangs += sl.need.CPU
				}
			}
			switch {
			case len(m.slots) == 0:
				idle++
			case m.surplus:
				surplus++
			case m.rec.Spot:
				spot++
			default:
				busy++
			}
		}
		a.log.Debug("share use", "share", s.id, "idle", idle, "surplus", surplus, "spot", spot, "ordinary", busy,
			"closed", closed, "cpu_used", used.CPU, "cpu_total", total.CPU, "cpu_ordinary", ordinary, "ordinary_gangs", gangs,
			"ordinary_arrays", arrays, "cpu_fetching", fetching)
	}
}
