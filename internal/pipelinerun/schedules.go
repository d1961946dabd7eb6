package pipelinerun

import (
	"encoding/hex"
	"encoding/json"
	"regexp"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/controller"
	"cherrywall/internal/cronschedule"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/tuning"

	"github.com/cespare/xxhash/v2"
)

// Schedules: runs begun by the calendar. One is led like a run, by the holder of a share;
// each time is one transaction that begins the run and moves the schedule on.

const schedulePrefix = prefix + "sched/"

func scheduleKey(name string) string { return schedulePrefix + hex.EncodeToString([]byte(name)) }

var scheduleNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// scheduleRecord is a schedule's record.
type scheduleRecord struct {
	Name     string `json:"name"`
	Cron     string `json:"cron"`
	Zone     string `json:"zone"`
	NextAtMS int64  `json:"next"` // Unix ms
	LastRun  string `json:"last,omitempty"`
	// Template is what its runs begin as.
	Template runRecord `json:"begin"`
}

type scheduleState struct {
	scheduleRecord
	revision      uint64
	writeInFlight bool
	pausedUntil   time.Time
}

// ScheduleView is a schedule as users see it.
type ScheduleView struct {
	Name     string `json:"name"`
	Cron     string `json:"cron"`
	Zone     string `json:"zone"`
	NextAtMS int64  `json:"next_ms"`
	LastRun  string `json:"last_run,omitempty"`
	Jobs     int    `json:"jobs,omitempty"`
}

func (s scheduleRecord) view() ScheduleView {
	return ScheduleView{Name: s.Name, Cron: s.Cron, Zone: s.Zone, NextAtMS: s.NextAtMS, LastRun: s.LastRun}
}

func (l *Leader) applyScheduleRecord(key string, value json.RawMessage, revision uint64) error {
	if old := l.schedules[key]; old != nil && old.revision >= revision {
		return nil
	}
	var s scheduleRecord
	if err := json.Unmarshal(value, &s); err != nil {
		return err
	}
	l.schedules[key] = &scheduleState{scheduleRecord: s, revision: revision}
	return nil
}

// startDueSchedules begins the runs of the schedules led here whose time has come.
func (l *Leader) startDueSchedules(peek controller.LocalState, now time.Time) {
	for key, entry := range l.schedules {
		epoch := peek.Shards[entry.Template.HomeShard]
		if epoch == 0 || entry.writeInFlight || now.UnixMilli() < entry.NextAtMS || now.Before(entry.pausedUntil) {
			continue
		}
		schedule, err := cronschedule.Parse(entry.Cron, entry.Zone)
		if err != nil {
			l.log.Error("schedule not understood", "schedule", entry.Name, "error", err)
			entry.pausedUntil = now.Add(time.Minute)
			continue
		}
		l.startScheduledRun(key, entry, schedule, epoch, now)
	}
}

// startScheduledRun begins a schedule's run. After an outage it is one run, for the last time that was
// missed.
func (l *Leader) startScheduledRun(key string, entry *scheduleState, schedule *cronschedule.Schedule, epoch uint64, now time.Time) {
	last, then := schedule.Due(time.UnixMilli(entry.NextAtMS), now)
	id := jobs.NumberedRef("run", xxhash.Sum64String(entry.Name+"@"+last.UTC().Format(time.RFC3339)))
	rec := entry.Template
	rec.AcceptedAtMS, rec.Epoch = now.UnixMilli(), epoch
	next := entry.scheduleRecord
	next.LastRun, next.NextAtMS = id, then.UnixMilli()
	txn := kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, Revision: entry.revision}, {Key: runKey(id)}, {Key: finalKey(id)}, {Key: jobs.ShardPrefix + rec.HomeShard, Revision: epoch}},
		Writes: []kvstore.Write{{Key: key, Value: kvstore.Encode(next)}, {Key: runKey(id), Value: kvstore.Encode(rec)}}}
	entry.writeInFlight = true
	l.commit(kvstore.Background, txn, func(result kvstore.TxnResult, err error) {
		entry.writeInFlight, entry.pausedUntil = false, time.Now().Add(tuning.RunWriteRetryDelay)
		if err != nil || !result.Succeeded {
			return // the watch tells, should it have been made after all
		}
		for _, w := range txn.Writes {
			l.applyWrite(w.Key, w.Value, result.Revision)
		}
		l.log.Info("run begun by schedule", "schedule", entry.Name, "run", id, "due", last, "late_s", now.Sub(last).Seconds())
	})
}

// Schedule keeps a file that is run by the calendar; one of the same name is replaced. Its
// first time is the next one from now on.
func (l *Leader) Schedule(name, expr, zone string, file []byte, plan *pipeline.Plan) (ScheduleView, Response) {
	if !scheduleNamePattern.MatchString(name) {
		return ScheduleView{}, errorResponse(400, "name: must be 1 to 64 letters, digits, dots, dashes and underscores")
	}
	schedule, err := cronschedule.Parse(expr, zone)
	if err != nil {
		return ScheduleView{}, errorResponse(400, err.Error())
	}
	rec, parts, err := l.newRunRecord(name, file, plan, "sched-"+hex.EncodeToString([]byte(name)))
	if err != nil {
		return ScheduleView{}, errorResponse(400, err.Error())
	}
	rec.Epoch = 0
	s := scheduleRecord{Name: name, Cron: expr, Zone: zone, NextAtMS: schedule.Next(time.Now()).UnixMilli(), Template: rec}
	v := s.view()
	v.Jobs = len(plan.Jobs)
	return v, l.ask(func(reply func(Response)) {
		key := scheduleKey(name)
		revision := uint64(0)
		if old := l.schedules[key]; old != nil {
			revision = old.revision
		}
		l.commitSchedule(key, revision, parts, kvstore.Write{Key: key, Value: kvstore.Encode(s)}, reply)
	})
}

// RemoveSchedule ends a schedule; runs that it has begun go on.
func (l *Leader) RemoveSchedule(name string) Response {
	return l.ask(func(reply func(Response)) {
		key := scheduleKey(name)
		if l.schedules[key] == nil {
			reply(errorResponse(404, "no such schedule"))
			return
		}
		l.commitSchedule(key, l.schedules[key].revision, nil, kvstore.Write{DeleteKey: key}, reply)
	})
}

// commitSchedule changes a schedule's record if it has a stamp, after the parts of its plan.
func (l *Leader) commitSchedule(key string, revision uint64, parts []kvstore.Write, last kvstore.Write, reply func(Response)) {
	if !l.synced {
		reply(retryLater("state not read yet"))
		return
	}
	l.commitAfter(parts, kvstore.Normal, kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, Revision: revision}}, Writes: []kvstore.Write{last}}, func(result kvstore.TxnResult, err error) {
		switch {
		case err != nil || !result.Succeeded: // it has just begun a run, or somebody else changes it
			reply(retryLater("busy"))
			return
		case last.DeleteKey != "":
			l.applyDelete(key, result.Revision)
		default:
			l.applyWrite(key, last.Value, result.Revision)
		}
		reply(Response{Code: 200})
	})
}

// Schedules tells all schedules, by name.
func (l *Leader) Schedules() ([]ScheduleView, bool) {
	type answer struct {
		all []ScheduleView
		ok  bool
	}
	r, _ := actor.Ask(l.mailbox, func() (a answer) {
		a.all, a.ok = []ScheduleView{}, l.synced
		for _, entry := range l.schedules {
			a.all = append(a.all, entry.view())
		}
		return a
	})
	slices.SortFunc(r.all, func(x, y ScheduleView) int { return strings.Compare(x.Name, y.Name) })
	return r.all, r.ok
}
