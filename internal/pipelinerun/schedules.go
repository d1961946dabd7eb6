package pipelinerun

import (
	"encoding/hex"
	"encoding/json"
	"net/http"
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

// A schedule is led like a run, by the owner of its home shard. When it is due, one transaction
// starts a run and sets the schedule's next time.

// scheduleState is this controller's state of a schedule.
type scheduleState struct {
	scheduleRecord
	revision        uint64 // revision of the record
	isWriteInFlight bool
	pausedUntil     time.Time
}

// mayStartRun reports whether the schedule is due, is not paused and has no transaction in flight.
// Two concurrent transactions of a schedule would conflict.
func (s *scheduleState) mayStartRun(now time.Time) bool {
	isDue := now.UnixMilli() >= s.NextAtMS
	return isDue && !s.isWriteInFlight && !now.Before(s.pausedUntil)
}

// applyScheduleRecord applies a schedule's record, unless a newer one is known.
func (l *Leader) applyScheduleRecord(key string, value json.RawMessage, revision uint64) error {
	if current := l.schedules[key]; current != nil && current.revision >= revision {
		return nil
	}
	var record scheduleRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return err
	}
	l.schedules[key] = &scheduleState{scheduleRecord: record, revision: revision}
	return nil
}

// startDueSchedules starts a run of each schedule that this controller leads and that is due.
func (l *Leader) startDueSchedules(local controller.LocalState, now time.Time) {
	for key, schedule := range l.schedules {
		epoch := local.Shards[schedule.Template.HomeShard]
		isLedHere := epoch != 0
		if !isLedHere || !schedule.mayStartRun(now) {
			continue
		}
		cronSchedule, err := cronschedule.Parse(schedule.Cron, schedule.Zone)
		if err != nil {
			l.log.Error("schedule cannot be read", "schedule", schedule.Name, "error", err)
			schedule.pausedUntil = now.Add(unreadableRecordRetryDelay)
			continue
		}
		l.startScheduledRun(key, schedule, cronSchedule, epoch, now)
	}
}

// startScheduledRun starts a run of a schedule. If several times were missed, for example in an
// outage, one run is started for the last of them. The run's id depends only on the schedule and
// that time, so that a repeated transaction does not start a second run.
func (l *Leader) startScheduledRun(key string, schedule *scheduleState, cronSchedule *cronschedule.Schedule, epoch uint64, now time.Time) {
	dueAt, nextAt := cronSchedule.Due(time.UnixMilli(schedule.NextAtMS), now)
	id := jobs.NumberedRef("run", xxhash.Sum64String(schedule.Name+"@"+dueAt.UTC().Format(time.RFC3339)))
	record := schedule.Template
	record.AcceptedAtMS, record.Epoch = now.UnixMilli(), epoch
	next := schedule.scheduleRecord
	next.LastRun, next.NextAtMS = id, nextAt.UnixMilli()
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{
			{Key: key, Revision: schedule.revision},
			{Key: runKey(id)},
			{Key: finalKey(id)},
			{Key: jobs.ShardPrefix + record.HomeShard, Revision: epoch},
		},
		Writes: []kvstore.Write{
			{Key: key, Value: kvstore.MustEncode(next)},
			{Key: runKey(id), Value: kvstore.MustEncode(record)},
		},
	}
	schedule.isWriteInFlight = true
	l.commit(kvstore.Background, txn, func(result kvstore.TxnResult, err error) {
		schedule.isWriteInFlight = false
		schedule.pausedUntil = time.Now().Add(tuning.RunWriteRetryDelay)
		if err != nil || !result.Succeeded {
			return // the watch delivers the writes if they were executed after all
		}
		for _, write := range txn.Writes {
			l.applyWrite(write.Key, write.Value, result.Revision)
		}
		l.log.Info("run started by schedule", "schedule", schedule.Name, "run", id, "due", dueAt, "late_s", now.Sub(dueAt).Seconds())
	})
}

// SetSchedule stores a schedule that runs a pipeline file at the times of a cron expression in a time
// zone, beginning with the first time after now. It replaces a schedule of the same name. The
// response has the code 400 if the name, the expression or the zone is invalid.
func (l *Leader) SetSchedule(name, expression, zone string, file []byte, plan *pipeline.Plan) (ScheduleView, Response) {
	if !scheduleNamePattern.MatchString(name) {
		return ScheduleView{}, errorResponse(http.StatusBadRequest, "name: must be 1 to 64 letters, digits, dots, dashes and underscores")
	}
	cronSchedule, err := cronschedule.Parse(expression, zone)
	if err != nil {
		return ScheduleView{}, errorResponse(http.StatusBadRequest, err.Error())
	}
	template, chunks, err := l.newRunRecord(name, file, plan, "sched-"+hex.EncodeToString([]byte(name)))
	if err != nil {
		return ScheduleView{}, errorResponse(http.StatusBadRequest, err.Error())
	}
	template.Epoch = 0
	record := scheduleRecord{Name: name, Cron: expression, Zone: zone, NextAtMS: cronSchedule.Next(time.Now()).UnixMilli(), Template: template}
	view := record.view()
	view.Jobs = len(plan.Jobs)
	return view, l.ask(func(reply func(Response)) {
		key := scheduleKey(name)
		revision := uint64(0)
		if current := l.schedules[key]; current != nil {
			revision = current.revision
		}
		l.commitSchedule(key, revision, chunks, kvstore.Write{Key: key, Value: kvstore.MustEncode(record)}, reply)
	})
}

// RemoveSchedule removes a schedule; runs that it has started continue. The response has the code 404
// if there is no such schedule.
func (l *Leader) RemoveSchedule(name string) Response {
	return l.ask(func(reply func(Response)) {
		key := scheduleKey(name)
		if l.schedules[key] == nil {
			reply(errorResponse(http.StatusNotFound, "no such schedule"))
			return
		}
		l.commitSchedule(key, l.schedules[key].revision, nil, kvstore.Write{DeleteKey: key}, reply)
	})
}

// commitSchedule writes a schedule's record after the chunks of its plan, on the precondition that
// the stored record has the given revision.
func (l *Leader) commitSchedule(key string, revision uint64, chunks []kvstore.Write, write kvstore.Write, reply func(Response)) {
	if !l.isSynced {
		reply(unavailableResponse("state not read yet"))
		return
	}
	txn := kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, Revision: revision}}, Writes: []kvstore.Write{write}}
	l.commitAfterWrites(chunks, kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		switch {
		case err != nil || !result.Succeeded: // e.g. the schedule has just started a run, or another user has changed it
			reply(unavailableResponse("busy"))
			return
		case write.DeleteKey != "":
			l.applyDelete(key, result.Revision)
		default:
			l.applyWrite(key, write.Value, result.Revision)
		}
		reply(Response{Code: http.StatusOK})
	})
}

// Schedules returns all schedules, sorted by name. ok is false until the schedules have been
// read from the store.
func (l *Leader) Schedules() (schedules []ScheduleView, ok bool) {
	type answer struct {
		schedules []ScheduleView
		isSynced  bool
	}
	result, _ := actor.Ask(l.mailbox, func() answer {
		a := answer{schedules: []ScheduleView{}, isSynced: l.isSynced}
		for _, schedule := range l.schedules {
			a.schedules = append(a.schedules, schedule.view())
		}
		return a
	})
	slices.SortFunc(result.schedules, func(x, y ScheduleView) int { return strings.Compare(x.Name, y.Name) })
	return result.schedules, result.isSynced
}
