package mirror

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// Who lives, who holds which share, and what a new holder may take for granted.

// keepAlive holds the grant to which this controller's liveness key is
// attached.
func (m *Mirror) keepAlive(ctx context.Context) {
	var permit uint64
	for ctx.Err() == nil {
		var err error
		if !m.mayLive.Load() {
			permit = 0 // left to end; the key is dropped, see Leave
		} else if permit == 0 || m.unseen.Swap(false) {
			permit, err = m.live(ctx)
		} else if err = m.st.Touch(ctx, permit); errors.Is(err, state.ErrGone) {
			m.log.Info("grant ended, taking a new one")
			permit = 0
			continue
		}
		wait := tuning.TouchEvery
		if err != nil {
			wait = tuning.RetryMin
		}
		if state.Pause(ctx, wait) != nil {
			return
		}
	}
}

// live takes a grant and has the liveness key hang on it. The write holds only as long as the
// key is what it was: one that had gone without an answer was carried out after its successor,
// and the key went with the first grant, which nobody renewed. The controller had no record
// of its life from then on, and took no share any more.
func (m *Mirror) live(ctx context.Context) (permit uint64, err error) {
	key := jobs.LivePrefix + m.cfg.Node
	row, _, _, err := m.st.Get(ctx, state.Urgent, key) // no stamp: it does not exist
	if err != nil {
		return 0, err
	}
	if permit, err = m.st.Grant(ctx, tuning.GrantTTL); err != nil {
		return 0, err
	}
	res, err := m.st.Do(ctx, state.Urgent, state.Txn{If: []state.Cond{{Key: key, Stamp: row.Stamp}},
		Writes: []state.Write{{Key: key, Permit: permit, Value: membership.LifeRecord(m.boot)}}})
	if err == nil && !res.OK {
		err = errors.New("liveness key changed meanwhile")
	}
	if err != nil {
		return 0, err
	}
	return permit, nil
}

// checkLife has this controller's liveness key written anew if its record has been missing,
// or that of another run of it, for longer than a grant lasts.
func (m *Mirror) checkLife(now time.Time) {
	if _, lives := m.Holders.MyLife(); lives || m.Stale(now) || !m.mayLive.Load() {
		m.missing = time.Time{}
	} else if m.missing.IsZero() {
		m.missing = now
	} else if now.Sub(m.missing) > tuning.GrantTTL {
		m.log.Info("no record of this controller's life, written anew")
		m.missing = time.Time{}
		m.unseen.Store(true)
	}
}

// Leave gives this controller's life up, so that others take its shares.
func (m *Mirror) Leave() {
	m.mayLive.Store(false)
	key := jobs.LivePrefix + m.cfg.Node
	life, _ := m.Holders.MyLife()
	m.Txn(state.Urgent, state.Txn{If: []state.Cond{{Key: key, Stamp: life}},
		Writes: []state.Write{{Drop: key}}}, func(state.Result, error) {})
}

// ComeBack takes it up again.
func (m *Mirror) ComeBack() { m.mayLive.Store(true) }

// TakeShares takes the shares that fall to this controller, but for one that is being
// handed over.
func (m *Mirror) TakeShares(now time.Time) {
	life, ok := m.mayTake(now)
	if !ok {
		return
	}
	failed := func(node string) bool { return m.hooks.Failed(node, now) }
	for _, id := range m.Holders.ToTake(now, failed) {
		if s := m.Holders.Share(id); m.Holders.HolderLives(s) && !failed(s.Holder()) && m.hooks.HandOver(id, now) {
			continue
		}
		conds := []state.Cond{{Key: jobs.LivePrefix + m.cfg.Node, Stamp: life}}
		if s := m.Holders.Share(id); m.Holders.HolderLives(s) && failed(s.Holder()) {
			m.log.Info("controller judged failed, its grant still runs", "controller", s.Holder(), "share", id)
		}
		if id != m.cfg.Node {
			// Its home has no grant, or is the one that was judged to have failed and
			// has not begun anew since.
			conds = append(conds, state.Cond{Key: jobs.LivePrefix + id, Stamp: m.Holders.Life(id)})
		}
		m.take(id, now, conds...)
	}
}

// mayTake tells whether this controller knows enough to take shares, and the stamp of its
// own record.
func (m *Mirror) mayTake(now time.Time) (life uint64, ok bool) {
	life, lives := m.Holders.MyLife()
	return life, lives && !m.leaving && m.reads.Epoch() <= m.position && !m.Stale(now)
}

// TakeGiven takes a share that its holder has given to this controller.
func (m *Mirror) TakeGiven(s *membership.Share, now time.Time) {
	if life, ok := m.mayTake(now); ok {
		m.take(s.ID(), now, state.Cond{Key: jobs.LivePrefix + m.cfg.Node, Stamp: life})
	}
}

// TakeNoMore has this controller take no share any more: it is about to end.
func (m *Mirror) TakeNoMore() { m.leaving = true }

// TakeAgain replaces the record of a share held here by one of ours: what was to be done
// under the old one, by whomever, can no longer be.
func (m *Mirror) TakeAgain(s *membership.Share, now time.Time) { m.take(s.ID(), now) }

// take replaces a share's record as it is known, if the conditions hold as well, and if
// that is not under way already.
func (m *Mirror) take(id string, now time.Time, conds ...state.Cond) {
	if m.taking[id] {
		return
	}
	m.taking[id] = true
	s := m.Holders.Share(id)
	known := state.Cond{Key: jobs.SharePrefix + id} // it has no record
	if s != nil {
		known.Stamp = s.Stamp()
	}
	m.Txn(state.Urgent, state.Txn{If: append(conds, known), Writes: []state.Write{{Key: known.Key,
		Value: membership.ShareRecord(m.cfg.Node, m.boot, s, now)}}}, func(res state.Result, err error) {
		delete(m.taking, id)
		if err != nil || !res.OK {
			m.log.Info("share not taken", "share", id, "failed", res.Failed, "error", err)
		}
	})
}

// shareWritten follows a share's record. Whoever holds it commands its
// workers with the record's stamp as the lower bound of their tokens.
func (m *Mirror) shareWritten(id string, value json.RawMessage, stamp uint64) error {
	s, err := m.Holders.Held(id, value, stamp, time.Now())
	if s == nil {
		return err
	}
	m.log.Info("share", "share", s.ID(), "holder", s.Holder(), "mine", s.Mine(), "token", s.Stamp())
	if m.synced {
		m.hooks.Taken(s.Holder())
	}
	for _, x := range m.Books.ShareRecorded(s) {
		m.hooks.Held(x)
	}
	return nil
}

// Knows tells whether the mirror has reached the taking of a share: our own
// write of it is known before the watch has told of earlier changes. A report
// taken in before that may list a task of a range that the holder before claimed
// at the last moment: it would be stopped as unknown, and when the range became
// known, the worker counted as heard without it and the task was started on
// another (ran_twice on a drawn day of sinai-huts-booking-grown).
func (m *Mirror) Knows(s *membership.Share) bool { return m.position >= s.Stamp() }
