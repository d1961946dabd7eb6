package runs

import (
	"encoding/hex"
	"encoding/json"
	"regexp"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/calendar"
	"cherrywall/internal/jobs"
	"cherrywall/internal/loop"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/placement"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"

	"github.com/cespare/xxhash/v2"
)

// Schedules: runs begun by the calendar. One is led like a run, by the holder of a share;
// each time is one transaction that begins the run and moves the schedule on.

const schedPrefix = prefix + "sched/"

func schedKey(name string) string { return schedPrefix + hex.EncodeToString([]byte(name)) }

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// sched is a schedule's record.
type sched struct {
	Name   string `json:"name"`
	Cron   string `json:"cron"`
	Zone   string `json:"zone"`
	NextMS int64  `json:"next"` // Unix ms
	Last   string `json:"last,omitempty"`
	// Begin is what its runs begin as.
	Begin run `json:"begin"`
}

type scheduled struct {
	sched
	stamp   uint64
	busy    bool
	pauseTo time.Time
}

// ScheduleView is a schedule as users see it.
type ScheduleView struct {
	Name   string `json:"name"`
	Cron   string `json:"cron"`
	Zone   string `json:"zone"`
	NextMS int64  `json:"next_ms"`
	Last   string `json:"last_run,omitempty"`
	Jobs   int    `json:"jobs,omitempty"`
}

func (s sched) view() ScheduleView {
	return ScheduleView{Name: s.Name, Cron: s.Cron, Zone: s.Zone, NextMS: s.NextMS, Last: s.Last}
}

func (l *Leader) schedWritten(key string, value json.RawMessage, stamp uint64) error {
	if old := l.scheds[key]; old != nil && old.stamp >= stamp {
		return nil
	}
	var s sched
	if err := json.Unmarshal(value, &s); err != nil {
		return err
	}
	l.scheds[key] = &scheduled{sched: s, stamp: stamp}
	return nil
}

// due begins the runs of the schedules led here whose time has come.
func (l *Leader) due(peek placement.Peek, now time.Time) {
	for key, s := range l.scheds {
		tenure := peek.Shares[s.Begin.Home]
		if tenure == 0 || s.busy || now.UnixMilli() < s.NextMS || now.Before(s.pauseTo) {
			continue
		}
		c, err := calendar.New(s.Cron, s.Zone)
		if err != nil {
			l.log.Error("schedule not understood", "schedule", s.Name, "error", err)
			s.pauseTo = now.Add(time.Minute)
			continue
		}
		l.fire(key, s, c, tenure, now)
	}
}

// fire begins a schedule's run. After an outage it is one run, for the last time that was
// missed.
func (l *Leader) fire(key string, s *scheduled, c *calendar.Calendar, tenure uint64, now time.Time) {
	last, then := c.Due(time.UnixMilli(s.NextMS), now)
	id := jobs.Numbered("run", xxhash.Sum64String(s.Name+"@"+last.UTC().Format(time.RFC3339)))
	rec := s.Begin
	rec.AtMS, rec.Tenure = now.UnixMilli(), tenure
	next := s.sched
	next.Last, next.NextMS = id, then.UnixMilli()
	t := state.Txn{If: []state.Cond{{Key: key, Stamp: s.stamp}, {Key: runKey(id)}, {Key: finalKey(id)}, {Key: jobs.SharePrefix + rec.Home, Stamp: tenure}},
		Writes: []state.Write{{Key: key, Value: state.Encode(next)}, {Key: runKey(id), Value: state.Encode(rec)}}}
	s.busy = true
	l.do(state.Background, t, func(res state.Result, err error) {
		s.busy, s.pauseTo = false, time.Now().Add(tuning.RunRefused)
		if err != nil || !res.OK {
			return // the watch tells, should it have been made after all
		}
		for _, w := range t.Writes {
			l.write(w.Key, w.Value, res.Epoch)
		}
		l.log.Info("run begun by schedule", "schedule", s.Name, "run", id, "due", last, "late_s", now.Sub(last).Seconds())
	})
}

// Schedule keeps a file that is run by the calendar; one of the same name is replaced. Its
// first time is the next one from now on.
func (l *Leader) Schedule(name, expr, zone string, file []byte, p *pipeline.Plan) (ScheduleView, Reply) {
	if !nameForm.MatchString(name) {
		return ScheduleView{}, refuse(400, "name: must be 1 to 64 letters, digits, dots, dashes and underscores")
	}
	c, err := calendar.New(expr, zone)
	if err != nil {
		return ScheduleView{}, refuse(400, err.Error())
	}
	rec, parts, err := l.begin(name, file, p, "sched-"+hex.EncodeToString([]byte(name)))
	if err != nil {
		return ScheduleView{}, refuse(400, err.Error())
	}
	rec.Tenure = 0
	s := sched{Name: name, Cron: expr, Zone: zone, NextMS: c.Next(time.Now()).UnixMilli(), Begin: rec}
	v := s.view()
	v.Jobs = len(p.Jobs)
	return v, l.tell(func(reply func(Reply)) {
		key := schedKey(name)
		stamp := uint64(0)
		if old := l.scheds[key]; old != nil {
			stamp = old.stamp
		}
		l.store(key, stamp, parts, state.Write{Key: key, Value: state.Encode(s)}, reply)
	})
}

// Unschedule ends a schedule; runs that it has begun go on.
func (l *Leader) Unschedule(name string) Reply {
	return l.tell(func(reply func(Reply)) {
		key := schedKey(name)
		if l.scheds[key] == nil {
			reply(refuse(404, "no such schedule"))
			return
		}
		l.store(key, l.scheds[key].stamp, nil, state.Write{Drop: key}, reply)
	})
}

// store changes a schedule's record if it has a stamp, after the parts of its plan.
func (l *Leader) store(key string, stamp uint64, parts []state.Write, last state.Write, reply func(Reply)) {
	if !l.synced {
		reply(again("state not read yet"))
		return
	}
	l.after(parts, state.Normal, state.Txn{If: []state.Cond{{Key: key, Stamp: stamp}}, Writes: []state.Write{last}}, func(res state.Result, err error) {
		switch {
		case err != nil || !res.OK: // it has just begun a run, or somebody else changes it
			reply(again("busy"))
			return
		case last.Drop != "":
			l.drop(key, res.Epoch)
		default:
			l.write(key, last.Value, res.Epoch)
		}
		reply(Reply{Code: 200})
	})
}

// Schedules tells all schedules, by name.
func (l *Leader) Schedules() ([]ScheduleView, bool) {
	type answer struct {
		all []ScheduleView
		ok  bool
	}
	r, _ := loop.Ask(l.loop, func() (a answer) {
		a.all, a.ok = []ScheduleView{}, l.synced
		for _, s := range l.scheds {
			a.all = append(a.all, s.view())
		}
		return a
	})
	slices.SortFunc(r.all, func(x, y ScheduleView) int { return strings.Compare(x.Name, y.Name) })
	return r.all, r.ok
}
