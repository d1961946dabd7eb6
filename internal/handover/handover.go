// Package handover moves a share between two live controllers without greeting its
// workers anew: the giver tells what it knows of them and from then on answers none of
// them, the taker takes the share by the usual conditional write and goes on from there
// (docs/membership.md).
package handover

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/mirror"
	"cherrywall/internal/others"
	"cherrywall/internal/peer"
	"cherrywall/internal/recovery"
	"cherrywall/internal/sessions"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"
)

// Slices are what shares are handed over with.
type Slices struct {
	Books    *books.Books
	Holders  *membership.Table
	Mirror   *mirror.Mirror
	Sessions *sessions.Keeper
	Recovery *recovery.Keeper
	Others   *others.Heard
}

// Keeper has no locks: one actor owns it.
type Keeper struct {
	Slices
	cfg  *config.Config
	log  *slog.Logger
	send func(to string, pieces []*peer.Piece) bool

	wanted  map[string]time.Time // shares that others hold and we should have: asked for since
	giving  map[string]*gift     // shares held here that are asked for
	parcels map[string]*parcel   // what is known of shares under a record
	vain    map[string]time.Time // when a share was last given in vain
	leaving bool                 // this controller is about to end
	past    []Past               // the latest last
}

// Past is a hand-over that has ended, or is under way, as operators see it.
type Past struct {
	Share   string    `json:"share"`
	To      string    `json:"to"`
	Outcome string    `json:"outcome"`
	TookS   float64   `json:"took_s"` // from the giver's last answer, or the taker's question, on
	At      time.Time `json:"-"`
	AgoS    float64   `json:"ago_s"`
}

// note remembers how a hand-over ended.
func (k *Keeper) note(share, to, outcome string, since, now time.Time) {
	k.past = append(k.past, Past{Share: share, To: to, Outcome: outcome, TookS: now.Sub(since).Seconds(), At: now})
	k.past = k.past[max(0, len(k.past)-tuning.NamesShown):]
}

// Views are the hand-overs under way here, and the last ones.
func (k *Keeper) Views(now time.Time) []Past {
	out := []Past{}
	for id, g := range k.giving {
		x := Past{Share: id, To: g.to, Outcome: "being prepared", TookS: now.Sub(g.asked).Seconds()}
		if !g.given.IsZero() {
			x.Outcome, x.TookS = "given, not taken yet", now.Sub(g.given).Seconds()
		}
		out = append(out, x)
	}
	for _, id := range k.Wants(now) {
		out = append(out, Past{Share: id, To: k.cfg.Node, Outcome: "asked for", TookS: now.Sub(k.wanted[id]).Seconds()})
	}
	slices.SortFunc(out, func(x, y Past) int { return strings.Compare(x.Share, y.Share) })
	for _, x := range slices.Backward(k.past) {
		x.AgoS = now.Sub(x.At).Seconds()
		out = append(out, x)
	}
	return out
}

// gift is a share that another controller has asked for.
type gift struct {
	stamp uint64
	to    string
	asked time.Time
	given time.Time // zero: returns and moves of its machines are still under way
}

// parcel is what a giver knew of a share, under the record of a stamp, when it stopped
// answering its workers. Whoever replaces that record next may go on from it.
type parcel struct {
	stamp    uint64
	of, have int
	pieces   [][]peer.Standing
	at       time.Time
}

func (p *parcel) whole() bool { return p != nil && p.have == p.of }

// New makes a keeper; send has pieces sent to another controller and tells whether they
// found room.
func New(cfg *config.Config, s Slices, send func(to string, pieces []*peer.Piece) bool, log *slog.Logger) *Keeper {
	k := &Keeper{Slices: s, cfg: cfg, log: log, send: send}
	k.Reset()
	return k
}

// Reset forgets all: the records are read anew. A share that was given stays so, since its
// record does.
func (k *Keeper) Reset() {
	k.wanted, k.giving, k.parcels = map[string]time.Time{}, map[string]*gift{}, map[string]*parcel{}
	k.vain = map[string]time.Time{}
}

// Wait tells whether a share that this controller is to take from one that lives should be
// waited for a moment longer: it was asked for and has not arrived.
func (k *Keeper) Wait(id string, now time.Time) bool {
	s := k.Holders.Share(id)
	if s == nil {
		return false
	}
	if p := k.parcels[id]; p.whole() && p.stamp == s.Stamp() {
		return false
	}
	// A holder that its workers can't reach has nothing to wait for: they come here.
	since, before := k.want(id, now)
	return !before || now.Sub(since) < tuning.WantFor && float64(k.Sessions.Strays(id, now)) <= max(2, tuning.StrayPart*float64(k.Books.InShare(id)))
}

// want has a share asked for, if it is not yet; it tells since when it is, and whether it
// was before.
func (k *Keeper) want(id string, now time.Time) (since time.Time, before bool) {
	if since, before = k.wanted[id]; !before {
		since = now
		k.wanted[id] = now
	}
	return since, before
}

// othersHold tells whether another controller, which lives, holds a share.
func (k *Keeper) othersHold(s *membership.Share) bool { return k.Holders.HolderLives(s) && !s.Mine() }

// Wants are the shares that others are asked to hand over, for the beat: as long as they
// are waited for, since a giver answers nobody meanwhile.
func (k *Keeper) Wants(now time.Time) []string {
	var out []string
	for id, since := range k.wanted {
		if s := k.Holders.Share(id); now.Sub(since) < tuning.WantFor && k.othersHold(s) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Leave has this controller give all its shares to whoever asks for them.
func (k *Keeper) Leave() {
	k.leaving = true
	k.Mirror.TakeNoMore()
}

// Asked takes in which shares another controller wants. Only its home is given a share,
// unless this controller is about to end.
func (k *Keeper) Asked(by string, wants []string, now time.Time) {
	for _, id := range wants {
		s := k.Holders.Share(id)
		if id != by && !k.leaving || s == nil || !s.Mine() || !s.Settled() || s.Given() || k.giving[id] != nil || k.Mirror.Stale(now) ||
			!k.Holders.IsLive(by, 0) || now.Sub(k.vain[id]) < tuning.HandOverAgain {
			continue
		}
		k.giving[id] = &gift{stamp: s.Stamp(), to: by, asked: now}
		s.Prepare() // no machine of it is returned or moved any more
		k.give(s, now)
	}
}

// Tick does what is due.
func (k *Keeper) Tick(now time.Time) {
	for id, g := range k.giving {
		s := k.Holders.Share(id)
		switch {
		case s == nil || !s.Mine() || s.Stamp() != g.stamp:
			switch {
			case g.given.IsZero() || s == nil:
			case s.Holder() == g.to:
				k.note(id, g.to, "handed over", g.given, now)
				k.log.Info("share handed over", "share", id, "to", g.to, "after_s", now.Sub(g.given).Seconds())
			case s.Mine():
				k.vain[id] = now
				k.note(id, g.to, "given in vain, taken again", g.given, now)
				k.log.Info("share given in vain, taken again", "share", id, "to", g.to)
			}
			delete(k.giving, id)
		case g.given.IsZero() && now.Sub(g.asked) < tuning.HandOver:
			k.give(s, now)
		case g.given.IsZero():
			s.Unprepare()
			delete(k.giving, id)
		case now.Sub(g.given) > tuning.HandOver:
			// Nobody took it. Answered without a new record, its workers could be
			// commanded by both, should the taker's write come late.
			k.Mirror.TakeAgain(s, now)
		}
	}
	for _, s := range k.Holders.Mine() {
		if s.Given() && k.giving[s.ID()] == nil {
			k.Mirror.TakeAgain(s, now) // the records were read anew meanwhile
		}
	}
	for _, s := range k.Holders.Shares() {
		if k.othersHold(s) && k.Others.Leaving(s.Holder(), now) &&
			k.Holders.HeirBut(s.ID(), func(n string) bool { return k.Others.Leaving(n, now) }) == k.cfg.Node {
			k.want(s.ID(), now)
		}
	}
	for id := range k.wanted {
		k.take(id, now)
		if !k.othersHold(k.Holders.Share(id)) {
			delete(k.wanted, id)
		}
	}
	for id, p := range k.parcels {
		if now.Sub(p.at) > 2*tuning.HandOver && (k.Holders.Share(id) == nil || !k.Holders.Share(id).Given()) {
			delete(k.parcels, id)
		}
	}
	k.Apply(now)
}

// give hands a share over, unless a machine of it is just being returned or moved: what
// comes of that is not known yet.
func (k *Keeper) give(s *membership.Share, now time.Time) {
	g := k.giving[s.ID()]
	var ms []*books.Machine
	for m := range k.Books.HeldIn(s.ID()) {
		if is := m.Is(); (is.Releasing || is.Moving) && !is.Released {
			return
		}
		ms = append(ms, m)
	}
	k.Sessions.Flush(s)
	pieces := k.pack(s, ms, now)
	if pieces == nil {
		s.Unprepare()
		delete(k.giving, s.ID())
		k.vain[s.ID()] = now
		return
	}
	k.Holders.Give(s)
	g.given = now
	p := &parcel{stamp: s.Stamp(), of: len(pieces), have: len(pieces), at: now}
	for _, piece := range pieces {
		p.pieces = append(p.pieces, piece.Machines)
	}
	k.parcels[s.ID()] = p // for ourselves, should nobody take it
	ok := k.send(g.to, pieces)
	k.log.Info("share given", "share", s.ID(), "to", g.to, "machines", len(ms), "pieces", len(pieces), "sent", ok)
}

// pack puts what is known of a share's machines into pieces, each of which fits a frame;
// nil if it is too much to be sent while nobody is answered.
func (k *Keeper) pack(s *membership.Share, ms []*books.Machine, now time.Time) []*peer.Piece {
	pieces := []*peer.Piece{{}}
	n := 0
	all := k.ended(s)
	for _, m := range ms {
		all = append(all, k.standing(m, now))
	}
	for _, x := range all {
		size := 1 + len(x.Tasks)
		if n > 0 && n+size > tuning.PieceTasks {
			pieces, n = append(pieces, &peer.Piece{}), 0
		}
		if size > tuning.PieceTasks || len(pieces) >= tuning.PiecesWaiting {
			return nil
		}
		last := pieces[len(pieces)-1]
		last.Machines, n = append(last.Machines, x), n+size
	}
	for i, piece := range pieces {
		piece.Share, piece.Stamp, piece.Index, piece.Of = s.ID(), s.Stamp(), i, len(pieces)
	}
	return pieces
}

// ended are the tasks that are done and not recorded so, in the place of machines without a
// name: on none of them, they were taken for nowhere and started again.
func (k *Keeper) ended(s *membership.Share) []peer.Standing {
	var out []peer.Standing
	var tasks []peer.Task
	for r := range k.Books.RangesIn(s.ID()) {
		for _, name := range r.UntoldTasks() {
			if tasks = append(tasks, peer.Task{Name: name}); len(tasks) == tuning.PieceTasks-1 {
				out, tasks = append(out, peer.Standing{Tasks: tasks}), nil
			}
		}
	}
	if len(tasks) > 0 {
		out = append(out, peer.Standing{Tasks: tasks})
	}
	return out
}

// standing is what is known of a machine here. Plans that nobody was told are left out, but
// for those of a gang of which some tasks were ordered.
func (k *Keeper) standing(m *books.Machine, now time.Time) peer.Standing {
	is := m.Is()
	x := peer.Standing{Host: m.Host(), Gone: is.Gone, Recalled: is.Recalled, Drained: is.Drained, Empty: is.Empty,
		Unheard: !is.Heard && !is.Gone}
	x.Session, x.Report, x.Over = k.Sessions.Last(m)
	for s := range m.Slots() {
		c := s.Is()
		if c.Planned() && !begun(s.Job()) {
			continue
		}
		t := peer.Task{Name: s.Name(), Attempt: s.Try(), Status: c.Status, Sent: c.Sent, Seen: c.Seen, Stop: c.Stop, Halted: c.Halted,
			Leeway: c.Leeway, Alien: s.Job() == nil}
		if !c.Since.IsZero() {
			t.Ran = now.Sub(c.Since)
		}
		x.Tasks = append(x.Tasks, t)
	}
	return x
}

// begun tells whether some task of a gang was ordered.
func begun(j *books.Job) bool {
	if j == nil || j.Rec().Kind != jobs.Gang {
		return false
	}
	_, started := j.Attempt()
	return started
}

// Hear takes in a piece of a share that another controller gives. Only what the holder
// says under its own record counts.
func (k *Keeper) Hear(from string, p *peer.Piece, now time.Time) {
	s := k.Holders.Share(p.Share)
	if _, wanted := k.wanted[p.Share]; !wanted || p.Of > tuning.PiecesWaiting || s == nil || s.Mine() || s.Holder() != from || s.Stamp() != p.Stamp {
		return
	}
	have := k.parcels[p.Share]
	if have == nil || have.stamp != p.Stamp || have.of != p.Of {
		have = &parcel{stamp: p.Stamp, of: p.Of, pieces: make([][]peer.Standing, p.Of)}
		k.parcels[p.Share] = have
	}
	if have.pieces[p.Index] != nil {
		return
	}
	have.pieces[p.Index] = append([]peer.Standing{}, p.Machines...) // not nil: it is there
	have.have++
	have.at = now
	k.take(p.Share, now)
}

// take takes a share of which all pieces have arrived.
func (k *Keeper) take(id string, now time.Time) {
	if s, p := k.Holders.Share(id), k.parcels[id]; s != nil && !s.Mine() && p.whole() && p.stamp == s.Stamp() {
		k.Mirror.TakeGiven(s, now)
	}
}

// Caught does what had to wait until the mirror knew more: taking a share that has arrived,
// going on from one that was taken. Every 250 ms was half of the time in which nobody
// answered the share's workers.
func (k *Keeper) Caught(now time.Time) {
	for id := range k.wanted {
		k.take(id, now)
	}
	k.Apply(now)
}

// Apply goes on from what was handed over, once the share is ours and all that was recorded
// before is known.
func (k *Keeper) Apply(now time.Time) {
	for id, p := range k.parcels {
		s := k.Holders.Share(id)
		// The record that ours replaced is the one under which the giver stopped to
		// answer: nothing was ordered since, by nobody.
		if !p.whole() || s == nil || !s.Mine() || s.Before() != p.stamp || !k.Mirror.Knows(s) {
			continue
		}
		delete(k.parcels, id)
		n := 0
		for _, piece := range p.pieces {
			for _, x := range piece {
				if x.Host == "" {
					k.done(s, x.Tasks)
				} else if m := k.Books.Machine(x.Host); m != nil && m.Rec().Share == id && m.Stamp() < s.Stamp() && !m.Is().Heard && !m.Is().Gone {
					k.inherit(m, x, now)
					n++
				}
			}
		}
		k.Recovery.Check(now)
		since, asked := k.wanted[id]
		if !asked {
			since = p.at // ours, taken again
		}
		k.note(id, k.cfg.Node, "went on here", since, now)
		k.log.Info("share goes on", "share", id, "machines", n, "settled", s.Settled())
	}
}

// done takes over which tasks are done and not recorded so.
func (k *Keeper) done(s *membership.Share, tasks []peer.Task) {
	for _, t := range tasks {
		if ref, i, ok := jobs.ParseTask(t.Name); ok {
			if r, at := k.Books.Task(ref, i); r != nil && r.Rec().Share == s.ID() {
				k.Books.MarkDone(r, at, nil)
			}
		}
	}
}

func (k *Keeper) inherit(m *books.Machine, x peer.Standing, now time.Time) {
	k.Sessions.Inherit(m, x.Session, x.Report, x.Over)
	switch {
	case x.Unheard:
		k.Recovery.Spare(m)
		return
	case x.Gone:
		k.Books.Assume(m, now)
		return
	}
	for _, t := range x.Tasks {
		e := worker.Entry{Task: t.Name, Try: t.Attempt, Status: t.Status}
		k.Books.Inherit(m, books.Known{Entry: e, Ran: t.Ran, Is: books.Course{Sent: t.Sent, Seen: t.Seen, Status: t.Status, Stop: t.Stop,
			Leeway: t.Leeway, Halted: t.Halted}}, !t.Alien && recovery.Stays(k.Books.Find(m, e)), now)
	}
	if x.Recalled {
		k.Books.Recall(m)
	}
	if x.Drained {
		k.Books.Drain(m)
	}
	// The giver answered nobody since it gave the share, which was before we took it: no
	// lease that it renewed lasts longer than one that begins now.
	k.Books.Reports(m, now)
	if k.Books.Heard(m, x.Empty, false) {
		k.Recovery.Inherited(m)
	}
}
