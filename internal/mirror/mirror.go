// Package mirror keeps this controller's copy of the records of the state service: it
// loads and follows them, has them written, and knows how fresh the copy is. What the
// records say goes to the books and to the slices that own it.
package mirror

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/books"
	"cherrywall/internal/catalog"
	"cherrywall/internal/config"
	"cherrywall/internal/depend"
	"cherrywall/internal/fresh"
	"cherrywall/internal/gate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/loop"
	"cherrywall/internal/membership"
	"cherrywall/internal/packs"
	"cherrywall/internal/quota"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
	"cherrywall/internal/worker"

	lru "github.com/hashicorp/golang-lru/v2"
)

// State is what the mirror needs of the state service.
type State = state.Service

// Hooks are called when something has happened that others act on.
type Hooks struct {
	Reset   func()                 // all is read anew
	Held    func(m *books.Machine) // a machine's share has a new holder, this controller or another
	Moved   func(m *books.Machine) // a machine was given to another share
	Dropped func(m *books.Machine) // its record is no more
	Caught  func()                 // the watch has told more
	// HandOver tells whether a share that another controller holds well is to be waited
	// for a moment longer, since that one was asked to hand it over.
	HandOver func(id string, now time.Time) (wait bool)
	// Failed tells whether a controller is judged to have failed though its grant runs.
	Failed func(node string, now time.Time) bool
	// Taken is called when a controller has taken a share.
	Taken func(holder string)
	// Wrote is called for each record that the holder of a share alone writes.
	Wrote func(share string)
	// Cancelled is called when a job becomes known to be cancelled, by the record of a
	// revision, before its claims go from the books. done are its tasks that were.
	Cancelled func(ref string, done int, stamp uint64)
	SetLevel  func(level string) // the operators set the log level
	// Opened is called when all controllers are known to run a program like this one.
	Opened func()
	// Apart gets the changes of records that only pass through here (jobs.ApartPrefix);
	// anew tells that some were missed, and all have to be read.
	Apart func(news []state.Event, anew bool)
}

// Slices are what the records tell of.
type Slices struct {
	Books   *books.Books
	Holders *membership.Table
	Types   *catalog.Catalog
	Packs   *packs.Book
	// Quotas are the limits of teams.
	Quotas *quota.Book
	// Gate tells whether all controllers know what this program knows.
	Gate *gate.Gate
}

// Mirror has no locks: one actor owns it.
type Mirror struct {
	Slices
	loop  *loop.Loop
	cfg   *config.Config
	boot  uint64
	st    State
	log   *slog.Logger
	hooks Hooks

	synced   bool
	position uint64 // all changes up to this revision are known
	loadedAt uint64
	fresh    time.Time // all that was decided before this moment is known
	contact  time.Time // last answer of the state service
	tomb     map[string]uint64
	finals   *lru.Cache[string, jobs.Final]
	reads    *fresh.Queue
	kick     context.CancelFunc // ends the watch request under way
	behind   time.Time          // since when the watch is, see checkWatch

	settings      admin.Settings
	settingsStamp uint64
	taking        map[string]bool // shares
	leaving       bool            // see TakeNoMore
	mayLive       atomic.Bool     // told to keepAlive
	unseen        atomic.Bool     // the same, see checkLife
	missing       time.Time       // since when, see checkLife
	marking       bool            // the mark of this program is being written
	opened        bool            // hooks.Opened was called
	asking        int             // for fates, see askFates
	aside         map[string]Aside
}

// New makes a mirror that knows nothing; Start has it follow the state service.
func New(l *loop.Loop, cfg *config.Config, boot uint64, st State, s Slices, hooks Hooks, log *slog.Logger) *Mirror {
	finals, err := lru.New[string, jobs.Final](tuning.FinalCache)
	if err != nil {
		panic(err) // only a size below 1 can fail
	}
	m := &Mirror{Slices: s, loop: l, cfg: cfg, boot: boot, st: st, log: log, hooks: hooks, finals: finals,
		settings: admin.Defaults(), taking: map[string]bool{}, tomb: map[string]uint64{}, aside: map[string]Aside{}}
	m.reads = fresh.New(m.readRevision, func() { l.Tell(func() { m.reads.Woken(time.Now()) }) })
	m.mayLive.Store(true)
	m.Books.Depend().Recall(func(ref string) depend.Fate {
		f, _ := m.Final(ref)
		return depend.FateOf(f.Status)
	})
	return m
}

// Start follows the state service until the actor ends.
func (m *Mirror) Start() {
	go m.follow(m.loop.Context())
	go m.keepAlive(m.loop.Context())
}

// Synced tells whether all records were read.
func (m *Mirror) Synced() bool { return m.synced }

// Position is the revision up to which all changes are known.
func (m *Mirror) Position() uint64 { return m.position }

// Contact is when the state service last answered.
func (m *Mirror) Contact() time.Time { return m.contact }

// Stale tells whether too little is known of the last moments to change what others may
// have changed as well.
func (m *Mirror) Stale(now time.Time) bool { return now.Sub(m.fresh) > tuning.GrantTTL }

// Fresh is the moment up to which all that was decided is known.
func (m *Mirror) Fresh() time.Time { return m.fresh }

// MayAnswer tells whether workers may be kept alive: config.MayAnswer.
func (m *Mirror) MayAnswer(now time.Time) bool { return m.synced && m.cfg.MayAnswer(now, m.fresh) }

// Settings are the operators' in force, and their version.
func (m *Mirror) Settings() (admin.Settings, uint64) { return m.settings, m.settingsStamp }

// Tick does what is due from time to time.
func (m *Mirror) Tick(now time.Time) {
	m.checkWatch(now)
	m.checkLife(now)
	m.markVersion()
	m.askFates(now)
	m.TakeShares(now)
	m.reads.Start(now)
}

func (m *Mirror) reset() {
	m.synced = false
	m.tomb = map[string]uint64{}
	m.aside = map[string]Aside{}
	m.Holders.Reset()
	m.Books.Reset()
	m.Packs.Reset()
	m.Quotas.Reset()
	m.Gate.Reset()
	m.hooks.Reset()
}

// follow loads the records and follows their changes for ever.
func (m *Mirror) follow(ctx context.Context) {
	pause := tuning.RetryMin
	for ctx.Err() == nil {
		err := m.once(ctx)
		if ctx.Err() != nil {
			return
		}
		m.log.Info("mirror reload", "error", err)
		if state.Pause(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, tuning.RetryMax)
	}
}

func (m *Mirror) once(ctx context.Context) error {
	var all []state.Row
	var from, upTo uint64
	// Final states are left out: they are kept for ever and asked for singly.
	for n, prefix := range []string{jobs.LivePrefix, jobs.SharePrefix, jobs.WorkerPrefix, jobs.JobPrefix, jobs.RangePrefix, jobs.PackPrefix, jobs.QuotaPrefix,
		jobs.VersionPrefix,
		jobs.SettingsKey, jobs.TypesKey, jobs.BootsKey} {
		rows, epoch, err := m.st.List(ctx, prefix)
		if err != nil {
			return err
		}
		// The first revision of a new service is 0: no mark for "none yet".
		if n == 0 || epoch < from {
			from = epoch
		}
		upTo = max(upTo, epoch)
		all = append(all, rows...)
	}
	loaded := from // the loop below moves from on
	m.loop.Tell(func() {
		m.reset()
		for _, r := range all {
			m.Write(r.Key, r.Value, r.Stamp)
		}
		m.position, m.loadedAt = loaded, upTo
		m.contact = time.Now()
		if loaded >= upTo {
			m.nowSynced()
		}
		m.hooks.Apart(nil, true)
	})
	for ctx.Err() == nil {
		wctx, kick := context.WithCancel(ctx)
		m.loop.Tell(func() { m.kick = kick })
		news, epoch, err := m.st.Watch(wctx, jobs.Prefix, from)
		kick()
		switch {
		case err == nil:
			from = max(from, epoch)
			m.loop.Tell(func() { m.News(news, epoch) })
			if state.Pause(ctx, tuning.WatchGap) != nil {
				return ctx.Err()
			}
		case errors.Is(err, state.ErrGone):
			return err
		default:
			if state.Pause(ctx, tuning.RetryMin) != nil {
				return ctx.Err()
			}
		}
	}
	return ctx.Err()
}

func (m *Mirror) nowSynced() {
	if !m.synced {
		m.synced = true
		m.Books.Touch()
		jobs, machines := m.Books.Sizes()
		m.log.Info("mirror loaded", "jobs", jobs, "workers", machines, "epoch", m.position)
	}
}

// News takes in what the watch has told: all changes up to a revision.
func (m *Mirror) News(news []state.Event, epoch uint64) {
	var apart []state.Event
	for _, e := range news {
		switch {
		case strings.HasPrefix(e.Key+e.Drop, jobs.ApartPrefix):
			apart = append(apart, e)
		case e.Drop != "":
			m.Drop(e.Drop, e.Stamp)
		default:
			m.Write(e.Key, e.Value, e.Stamp)
		}
	}
	if len(apart) > 0 {
		m.hooks.Apart(apart, false)
	}
	m.position = max(m.position, epoch)
	m.contact = time.Now()
	for k, s := range m.tomb {
		if s <= m.position {
			delete(m.tomb, k)
		}
	}
	if m.position >= m.loadedAt {
		m.nowSynced()
	}
	if len(apart) == 0 || len(apart) < len(news) {
		m.Books.Touch()
	}
	m.advanceReads(time.Now())
	m.hooks.Caught()
}

// checkWatch restarts a watch that lies behind a revision known from
// elsewhere: its connection may be dead without an error.
func (m *Mirror) checkWatch(now time.Time) {
	if m.reads.Epoch() <= m.position {
		m.behind = time.Time{}
		return
	}
	if m.behind.IsZero() {
		m.behind = now
	} else if now.Sub(m.behind) > tuning.WatchStuck && m.kick != nil {
		m.kick()
		m.behind = time.Time{}
	}
}

// Write follows a record that was written.
func (m *Mirror) Write(key string, value json.RawMessage, stamp uint64) {
	if m.tomb[key] > stamp {
		return
	}
	var err error
	switch {
	case strings.HasPrefix(key, jobs.LivePrefix):
		err = m.Holders.Lives(key[len(jobs.LivePrefix):], value, stamp, time.Now())
	case strings.HasPrefix(key, jobs.SharePrefix):
		err = m.shareWritten(key[len(jobs.SharePrefix):], value, stamp)
	case strings.HasPrefix(key, jobs.WorkerPrefix):
		var rec worker.Record
		if err = json.Unmarshal(value, &rec); err == nil && rec.Share == "" {
			err = errors.New("share: missing")
		}
		if err == nil {
			if x, moved := m.Books.MachineRecorded(key[len(jobs.WorkerPrefix):], rec, stamp); moved && m.synced {
				m.hooks.Moved(x)
			}
		}
	case strings.HasPrefix(key, jobs.JobPrefix):
		var rec jobs.Record
		if err = json.Unmarshal(value, &rec); err == nil {
			err = rec.Valid()
		}
		if err == nil && rec.Ref != key[len(jobs.JobPrefix):] {
			err = fmt.Errorf("ref: %q", rec.Ref)
		}
		if err == nil && !m.Packs.Recorded(rec.Ref, stamp) {
			m.Books.JobRecorded(&rec, stamp, m.synced, m.settings.Spot)
		}
	case strings.HasPrefix(key, jobs.RangePrefix):
		ref, first, ok := splitRangeKey(key)
		var rec jobs.Range
		if err = json.Unmarshal(value, &rec); err == nil && !ok {
			err = errors.New("key: not of a range")
		}
		if err == nil {
			err = rec.Valid(first)
		}
		if err == nil {
			m.Books.RangeRecorded(ref, first, rec, stamp, m.synced)
			m.hooks.Wrote(rec.Share)
		}
	case strings.HasPrefix(key, jobs.PackPrefix):
		err = m.packWritten(key, value, stamp)
	case strings.HasPrefix(key, jobs.QuotaPrefix):
		var team []byte
		if team, err = hex.DecodeString(key[len(jobs.QuotaPrefix):]); err == nil {
			err = m.Quotas.Recorded(string(team), value, stamp)
		}
	case strings.HasPrefix(key, jobs.VersionPrefix):
		err = m.versionWritten(key[len(jobs.VersionPrefix):], value, stamp)
	case key == jobs.SettingsKey:
		err = m.settingsWritten(value, stamp)
	case key == jobs.TypesKey:
		var used bool
		if used, err = m.Types.TypesRecorded(value, stamp); used {
			m.Books.RecountAll()
		}
	case key == jobs.BootsKey:
		err = m.Types.BootsRecorded(value, stamp)
	case strings.HasPrefix(key, jobs.FinalPrefix):
		var final jobs.Final
		if err = json.Unmarshal(value, &final); err == nil {
			ref := key[len(jobs.FinalPrefix):]
			if _, known := m.Final(ref); !known && final.Status == jobs.Cancelled {
				m.hooks.Cancelled(ref, final.Tasks, stamp)
			}
			m.ended(ref, final)
		}
	}
	m.setAside(key, value, stamp, err)
	m.Books.Touch()
}

// Aside is a record that can't be followed: damaged, impossible, or of a later program. It is
// left alone, nothing is done of what it says, and the rest goes on.
type Aside struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
	Error string `json:"error"`
	Value string `json:"value"` // its beginning
}

func (m *Mirror) setAside(key string, value json.RawMessage, stamp uint64, err error) {
	if err == nil {
		delete(m.aside, key)
		return
	}
	m.log.Error("record set aside", "key", key, "stamp", stamp, "error", err)
	m.aside[key] = Aside{key, stamp, err.Error(), string(value[:min(len(value), tuning.AsideBytes)])}
}

// Asides are the records that were set aside, by key: the first of them, should they be many.
func (m *Mirror) Asides() []Aside {
	var out []Aside
	keys := slices.Sorted(maps.Keys(m.aside))
	for _, key := range keys[:min(len(keys), tuning.AsideKept)] {
		out = append(out, m.aside[key])
	}
	return out
}

// IsAside tells whether a record was set aside.
func (m *Mirror) IsAside(key string) bool {
	_, yes := m.aside[key]
	return yes
}

func splitRangeKey(key string) (string, int, bool) {
	rest := key[len(jobs.RangePrefix):]
	ref, num, ok := strings.Cut(rest, "/")
	first, err := strconv.Atoi(num)
	return ref, first, ok && err == nil
}

// Drop follows the end of a record.
func (m *Mirror) Drop(key string, stamp uint64) {
	if stamp > m.position {
		m.tomb[key] = max(m.tomb[key], stamp)
	}
	delete(m.aside, key)
	switch {
	case strings.HasPrefix(key, jobs.LivePrefix):
		m.Holders.Ended(key[len(jobs.LivePrefix):], stamp)
	case strings.HasPrefix(key, jobs.WorkerPrefix):
		if x := m.Books.MachineDropped(key[len(jobs.WorkerPrefix):], stamp); x != nil {
			m.hooks.Dropped(x)
		}
	case strings.HasPrefix(key, jobs.JobPrefix):
		ref := key[len(jobs.JobPrefix):]
		m.Books.JobDropped(ref, stamp)
		m.Packs.Tidied(ref, stamp)
	case strings.HasPrefix(key, jobs.PackPrefix):
		m.Packs.Dropped(key, stamp)
	case strings.HasPrefix(key, jobs.RangePrefix):
		if ref, first, ok := splitRangeKey(key); ok {
			m.Books.RangeDropped(ref, first, stamp)
		}
	}
	m.Books.Touch()
}

// packWritten follows a pack: its jobs are over.
func (m *Mirror) packWritten(key string, value json.RawMessage, stamp uint64) error {
	news, err := m.Packs.Changed(key, value, stamp)
	for _, x := range news {
		m.ended(x.Ref, jobs.Final{Status: jobs.Done, Tasks: x.Tasks})
		if j := m.Books.Job(x.Ref); j != nil {
			m.Packs.Recorded(x.Ref, j.Stamp())
			m.Books.End(j)
		}
	}
	return err
}

func (m *Mirror) settingsWritten(value json.RawMessage, stamp uint64) error {
	if stamp <= m.settingsStamp {
		return nil
	}
	s := admin.Defaults()
	if err := json.Unmarshal(value, &s); err != nil {
		return err
	}
	m.settings, m.settingsStamp = s, stamp
	m.hooks.SetLevel(s.LogLevel)
	m.Books.RecountAll()
	return nil
}

// Final is a job's final state, if that is known here.
func (m *Mirror) Final(ref string) (jobs.Final, bool) {
	if f, packed := m.Packs.Final(ref); packed {
		return f, true
	}
	return m.finals.Get(ref)
}

// LookUp asks for a final state that is not remembered; there may be none.
func (m *Mirror) LookUp(ref string, done func(final jobs.Final, found bool, err error)) {
	go func() {
		row, found, _, err := m.st.Get(m.loop.Context(), state.Normal, jobs.FinalKey(ref))
		m.loop.Tell(func() {
			var final jobs.Final
			if err == nil && found {
				if err = json.Unmarshal(row.Value, &final); err == nil {
					m.ended(ref, final)
				}
			}
			done(final, found, err)
		})
	}()
}

// Current calls done once the mirror is at least as new as now.
func (m *Mirror) Current(urgent bool, done func(ok bool)) { m.reads.Wait(time.Now(), urgent, done) }

// readRevision asks the state service for its revision, for those that wait in reads.
func (m *Mirror) readRevision(started time.Time) {
	go func() {
		// The key never exists; the answer carries the revision.
		_, _, epoch, err := m.st.Get(m.loop.Context(), state.Urgent, jobs.Prefix+"none")
		m.loop.Tell(func() {
			now := time.Now()
			m.reads.Read(now, datedBy(started, now), epoch, err)
			if err == nil {
				m.contact = now
				m.advanceReads(now)
			}
			m.reads.Start(time.Now())
		})
	}()
}

// datedBy is the moment as of which an answer counts as known, of when it was asked for and
// when it came: the service may have looked as soon as it was asked. Other than so in a
// broken variant of the tests.
var datedBy = func(asked, _ time.Time) time.Time { return asked }

func (m *Mirror) advanceReads(now time.Time) {
	known, serve := m.reads.Advance(now, m.position, m.synced)
	if known.After(m.fresh) {
		m.fresh = known
	}
	serve()
}
