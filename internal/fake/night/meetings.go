package night

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/placement"
)

// Troubles that break rules where two of them meet (docs/meetings.md). Each lasts until
// another of its kind ends it, or the night does.

// Kind is one of them.
type Kind int

// The kinds. Those that only a night itself names are not exported.
const (
	lateWrites Kind = iota
	lateReports
	someDeaf
	oneDeaf
	held
	hung
	cutFromState // and from the other controllers, not from workers or users
	joined
	Gap
	lateComers
	readAnew // all records, while orders are under way
	mute     // machines reach no controller, while direct commands reach them
	CancelNow
	cancelAtEnd
	Odd // requests
	kinds
)

// Meeting plays a night of them by its seed and returns the rules broken. Leases, and the time
// that a cancellation may take, are of several lengths.
func Meeting(t *testing.T, seed uint64) (broken []string) {
	t.Helper()
	return meeting(t, seed, nil, func(*fake.World) {})
}

func meeting(t *testing.T, seed uint64, only *Kind, set func(w *fake.World)) []string {
	return RunOf(t, 12, func(w *fake.World) {
		w.Peers = seed%2 == 1
		times := [][2]float64{{10, 30}, {25, 45}, {35, 60}}[seed%3]
		w.Cfg.Cluster.Workers.LeaseS, w.Cfg.Cluster.Workers.CancelS = times[0], times[1]
		w.Fetching(time.Duration(seed%4) * 1500 * time.Millisecond)
		set(w)
	}, func(n *Night) {
		n.Meet, n.Graphs, n.only = true, seed%5 == 0, only
		n.Troubles(rand.New(rand.NewPCG(seed, 33)), 150)
		n.Ends()
	})
}

// Found tells whether one of the first so many nights breaks a rule: whether the judge finds a
// breach. Rules are told by how they begin; none for any.
func Found(t *testing.T, nights uint64, rules ...string) bool {
	t.Helper()
	return FoundWith(t, nights, func(*fake.World) {}, rules...)
}

// FoundWith is the same of a breach in the world.
func FoundWith(t *testing.T, nights uint64, set func(w *fake.World), rules ...string) bool {
	t.Helper()
	return found(t, nights, nil, set, rules)
}

// FoundAt is the same of nights in which the only meetings are of one kind.
func FoundAt(t *testing.T, nights uint64, only Kind, set func(w *fake.World), rules ...string) bool {
	t.Helper()
	return found(t, nights, &only, set, rules)
}

func found(t *testing.T, nights uint64, only *Kind, set func(w *fake.World), rules []string) bool {
	t.Helper()
	for seed := range nights {
		for _, b := range meeting(t, seed, only, set) {
			if len(rules) == 0 || slices.ContainsFunc(rules, func(r string) bool { return strings.HasPrefix(b, r) }) {
				t.Logf("seed %d: %s", seed, b)
				return true
			}
		}
	}
	return false
}

// meet has one of them begin or end; some is a controller that runs.
func (n *Night) meet(some string, rnd *rand.Rand) {
	hosts := n.Hosts()
	host := hosts[rnd.IntN(len(hosts))]
	lease := time.Duration(n.Cfg.Cluster.Workers.LeaseS * float64(time.Second))
	own := rand.New(rand.NewPCG(rnd.Uint64(), 1)) // for what goes on by itself
	kind := Kind(rnd.IntN(int(kinds)))
	if n.only != nil {
		kind = *n.only
	}
	switch kind {
	case lateWrites:
		n.Store.LateWrites(own, []float64{0, 0.1, 0.3}[rnd.IntN(3)])
	case lateReports:
		if rnd.IntN(3) == 0 {
			n.Copies(nil, 0)
		} else {
			n.Copies(own, 2*lease)
		}
	case someDeaf:
		for _, h := range hosts {
			n.Deafen(h, rnd.IntN(6) == 0)
		}
	case oneDeaf:
		n.Deafen(host, false)
	case held:
		n.Hold(host, time.Duration(rnd.IntN(2)*rnd.IntN(5000))*time.Millisecond)
	case hung:
		n.Hang(host, rnd.IntN(2) == 0)
	case cutFromState:
		n.alone(some, true)
	case joined:
		n.alone(some, false)
	case Gap:
		n.gap(some, rnd)
	case lateComers:
		n.comeLate(some, rnd)
	case readAnew:
		for _, h := range hosts {
			n.Hold(h, time.Duration(rnd.IntN(4000))*time.Millisecond)
		}
		time.Sleep(time.Second)
		n.Store.Outrun(some)
	case mute:
		all := rnd.IntN(4) == 0
		for _, h := range hosts {
			n.Mute(h, all || rnd.IntN(6) == 0)
		}
	case CancelNow:
		n.cancelNow(rnd, lease)
	case cancelAtEnd:
		n.cancelAtEnd(rnd)
	case Odd:
		for range 3 {
			n.odd(some, rnd)
		}
	}
}

// odd has a user submit a job again with other content or with a body that is wrong, cancel a job
// that is done, or submit one that can't run or lacks a field.
func (n *Night) odd(node string, rnd *rand.Rand) {
	known := ""
	if len(n.refs) > 0 {
		known = n.refs[rnd.IntN(len(n.refs))]
	}
	bad := errors.New("shifts: missing")
	switch k := rnd.IntN(5); {
	case k < 2 && n.told[known] != "":
		s := fake.Job(known, jobs.Array, 1+rnd.IntN(500), 99)
		what, err := "a repeat with other content", error(nil)
		if k == 1 {
			what, err = "a repeat with a body that is wrong", bad
		}
		r := n.Send(node, s, err)
		if r.Code == 201 || r.Code == 400 || r.Code == 422 {
			n.breaks("forgotten: %s of %s was answered %+v", what, known, r)
		}
		n.hears(known, what, r.Code, r.Status)
	case k == 2 && n.told[known] == jobs.Done:
		n.answered(known, n.Withdraw(node, known))
	default:
		s := fake.Job(fmt.Sprintf("odd-%d", rnd.Uint32()), jobs.Array, 1+rnd.IntN(4), 1)
		zone, err := "nowhere", error(nil)
		switch rnd.IntN(7) {
		case 0:
			err = bad
		case 1:
			s.CPU = 99
		case 2:
			s.Team = "nobody"
		case 3:
			s.Zone = &zone
		case 4:
			s.Kind, s.Team, s.Tasks = jobs.Gang, "capped", 9
		case 5:
			s.Tasks, s.OneZone, s.Spread = 4, true, true
		case 6:
			s.Builds = []string{"m512"}
		}
		if r := n.Send(node, s, err); r.Code == 200 || r.Code == 201 {
			n.breaks("accepted_odd: %+v (%v) was answered %+v", s, err, r)
		}
	}
}

// cancelNow has users call off several jobs within a fifth of a second, at whichever controllers,
// while some machines stand still and go on within the lease or after it.
func (n *Night) cancelNow(rnd *rand.Rand, lease time.Duration) {
	if len(n.refs) == 0 {
		return
	}
	for _, h := range n.Hosts() {
		if rnd.IntN(3) == 0 {
			n.Hang(h, true)
			time.AfterFunc(time.Duration(rnd.Int64N(int64(lease+lease/2))), func() { n.Hang(h, false) })
		}
	}
	for _, ref := range n.refs[max(0, len(n.refs)-1-rnd.IntN(5)):] {
		up := n.up()
		if len(up) == 0 {
			break
		}
		n.callOff(up[rnd.IntN(len(up))], ref)
		time.Sleep(time.Duration(rnd.IntN(50)) * time.Millisecond)
	}
	n.answers()
}

// callOff asks a controller to cancel a job, without waiting for the answer: see answers.
func (n *Night) callOff(node, ref string) {
	n.asked[ref] = true
	n.under.Add(1)
	go func() {
		defer n.under.Done()
		r := n.Withdraw(node, ref)
		if r.Code != 200 {
			return
		}
		if r.Status == jobs.Cancelled {
			n.confirmed(ref)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.later = append(n.later, func() { n.answered(ref, r) })
	}()
}

// answers waits for the answers to what was called off.
func (n *Night) answers() {
	n.under.Wait()
	for _, f := range n.later {
		f()
	}
	n.later = nil
}

// answered takes in the answer to a cancellation.
func (n *Night) answered(ref string, r placement.Reply) {
	if r.Code != 200 {
		return
	}
	n.hears(ref, "cancellation", r.Code, r.Status)
	if r.Status != jobs.Cancelled && r.Status != jobs.Done {
		n.breaks("withdrawn: %s is called %s", ref, r.Status)
	}
}

// cancelAtEnd submits jobs and calls them off, asks for them or submits them again at the moment of
// their ends.
func (n *Night) cancelAtEnd(rnd *rand.Rand) {
	up := n.up()
	first, run := len(n.refs), time.Duration(1500+rnd.IntN(3000))*time.Millisecond
	for range 1 + rnd.IntN(4) {
		n.submit(up[rnd.IntN(len(up))], []string{jobs.Array, jobs.Gang}[rnd.IntN(2)], 1+rnd.IntN(6), 1, run)
	}
	for _, ref := range n.refs[first:] {
		for k := 0; k < 200 && !n.Whole(ref); k++ {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Duration(rnd.IntN(3)*rnd.IntN(1200)) * time.Millisecond)
		up := n.up()
		if len(up) == 0 {
			return
		}
		at := up[rnd.IntN(len(up))]
		switch rnd.IntN(3) {
		case 0:
			n.cancel(at, ref)
		case 1:
			r := n.Poll(at, ref)
			n.hears(ref, "a poll at its end", r.Code, r.Status)
		case 2:
			r := n.Again(at, ref)
			n.hears(ref, "a repeat at its end", r.Code, r.Status)
			if r.Code == 400 || r.Code == 422 {
				n.breaks("forgotten: a repeat of %s was answered %+v", ref, r)
			}
		}
	}
}

// length is how long a job's tasks run, in seconds; where troubles meet some are still running
// when the time of a cancellation or a lease is over.
func (n *Night) length(s int) time.Duration {
	if n.Meet && n.rnd.IntN(2) == 0 {
		s *= 1 + n.rnd.IntN(9)
	}
	return time.Duration(s) * time.Second
}

// comeLate has a controller be alone with its workers until it may not answer them any more.
// Some of them are cut off just then, come to its successor when their leases are nearly over,
// and are cut off again once they were heard there, with their tasks running.
func (n *Night) comeLate(alone string, rnd *rand.Rand) {
	n.alone(alone, true)
	time.Sleep(n.Cfg.AnswersFor() - time.Duration(rnd.IntN(4000))*time.Millisecond)
	lease := time.Duration(n.Cfg.Cluster.Workers.LeaseS * float64(time.Second))
	some := n.Hosts()
	for _, h := range some {
		n.CutOff(h, true)
	}
	time.Sleep(time.Duration(rnd.Int64N(int64(lease))))
	for _, h := range some {
		n.CutOff(h, false)
	}
	time.Sleep(4*time.Second + time.Duration(rnd.IntN(4000))*time.Millisecond) // a report that is given up, and the way to the successor
	for _, h := range some {
		n.CutOff(h, rnd.IntN(3) > 0)
	}
	time.Sleep(lease)
	for _, h := range n.Hosts() {
		n.CutOff(h, false)
	}
	n.alone(alone, false)
}

func (n *Night) alone(node string, on bool) {
	n.Store.Refuse(node, on)
	off := ""
	if on {
		off = node
	}
	n.SetLink(fake.Link{Off: off})
}

// gap has the state service refuse one controller, users cancel through the others, and then
// an outage for all that lasts longer than a cancellation may take; workers report on.
func (n *Night) gap(refused string, rnd *rand.Rand) {
	// Something is to run when the time of the cancellations is over.
	n.submit(refused, []string{jobs.Array, jobs.Gang}[rnd.IntN(2)], 12, 1, config.Seconds(2*n.Cfg.Cluster.Workers.CancelS))
	time.Sleep(time.Duration(4000+rnd.IntN(4000)) * time.Millisecond)
	n.Store.Refuse(refused, true)
	if rnd.IntN(3) == 0 {
		n.SetLink(fake.Link{Off: refused})
	}
	for range 1 + rnd.IntN(4) {
		time.Sleep(time.Duration(rnd.IntN(2500)) * time.Millisecond)
		for _, x := range n.up() {
			if x != refused {
				n.callOff(x, n.refs[len(n.refs)-1-rnd.IntN(min(3, len(n.refs)))])
			}
		}
	}
	switch rnd.IntN(4) {
	case 0:
		n.Crash(refused)
		time.Sleep(time.Duration(rnd.IntN(900)) * time.Millisecond)
		n.Boot(refused)
	case 1:
		time.Sleep(time.Duration(rnd.IntN(13000)) * time.Millisecond)
	}
	n.Store.Outage(true)
	for end := time.Now().Add(time.Duration((n.Cfg.Cluster.Workers.CancelS + 2 + float64(rnd.IntN(10))) * float64(time.Second))); time.Now().Before(end); {
		time.Sleep(time.Second)
		n.look()
		if up := n.up(); len(up) > 0 && len(n.refs) > 0 {
			ref := n.refs[rnd.IntN(len(n.refs))]
			r := n.Poll(up[rnd.IntN(len(up))], ref)
			n.hears(ref, "a poll in the outage", r.Code, r.Status)
		}
	}
	n.answers()
	n.Store.Refuse(refused, rnd.IntN(2) == 0) // the outage may end for the others first
	n.Store.Outage(false)
}

// cancel asks a controller to cancel a job.
func (n *Night) cancel(node, ref string) {
	n.asked[ref] = true
	n.answered(ref, n.Withdraw(node, ref))
}

// part ends all of them.
func (n *Night) part() {
	n.Store.LateWrites(nil, 0)
	n.Copies(nil, 0)
	for _, h := range n.Hosts() {
		n.Deafen(h, false)
		n.Mute(h, false)
		n.Hold(h, 0)
		n.Hang(h, false)
	}
	for _, x := range names {
		n.Store.Refuse(x, false)
	}
}
