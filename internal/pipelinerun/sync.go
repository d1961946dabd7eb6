package pipelinerun

import (
	"context"
	"encoding/json"
	"strings"

	"cherrywall/internal/actor"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/tuning"
)

// loadedPrefixes are the prefixes whose records loadRecords lists, in this order. acquireGroup treats
// a group as free if the group's run is unknown. A run that starts after the runs were listed and before
// the groups are listed is not in the listing, but becomes known by its event.
var loadedPrefixes = []string{runPrefix, groupPrefix, schedulePrefix}

// handleEvents applies events of the controller's watch. While the records are being loaded, the
// events are kept until loading has finished. needsReload is set if events were missed, so that all
// records have to be listed again.
func (l *Leader) handleEvents(events []kvstore.Event, needsReload bool) {
	if needsReload {
		l.reloadRequestCount++
		if !l.isLoading {
			l.isLoading = true
			go l.loadRecords(l.mailbox.Context())
		}
	}
	l.pendingEvents = append(l.pendingEvents, events...)
	if l.isLoading {
		return // the listing may be older than these events
	}
	l.applyPendingEvents()
}

func (l *Leader) applyPendingEvents() {
	for _, event := range l.pendingEvents {
		if event.DeletedKey != "" {
			l.applyDelete(event.DeletedKey, event.Revision)
		} else {
			l.applyWrite(event.Key, event.Value, event.Revision)
		}
	}
	l.pendingEvents = nil
}

// loadRecords lists all unfinished runs, groups and schedules, and retries until it succeeds or the
// context ends. It lists them again if events were missed during the listing.
func (l *Leader) loadRecords(ctx context.Context) {
	for ctx.Err() == nil {
		reloadRequestCount, _ := actor.Ask(l.mailbox, func() int { return l.reloadRequestCount })
		rows, err := l.listRecords(ctx)
		if err != nil {
			if kvstore.Sleep(ctx, tuning.MaxRetryDelay) != nil {
				return
			}
			continue
		}
		isApplied, _ := actor.Ask(l.mailbox, func() bool {
			if l.reloadRequestCount != reloadRequestCount {
				return false
			}
			l.applyListing(rows)
			return true
		})
		if isApplied {
			return
		}
	}
}

func (l *Leader) listRecords(ctx context.Context) ([]kvstore.KeyValue, error) {
	var allRows []kvstore.KeyValue
	for _, prefix := range loadedPrefixes {
		rows, _, err := l.store.List(ctx, prefix)
		if err != nil {
			return nil, err
		}
		allRows = append(allRows, rows...)
	}
	return allRows, nil
}

func (l *Leader) applyListing(rows []kvstore.KeyValue) {
	l.runs = map[string]*runState{}
	l.resourceGroups = map[string]resourceGroup{}
	l.schedules = map[string]*scheduleState{}
	for _, row := range rows {
		l.applyWrite(row.Key, row.Value, row.Revision)
	}
	l.applyPendingEvents()
	l.isSynced, l.isLoading = true, false
}

// applyWrite applies a record that was written at a revision. A record that cannot be decoded is
// logged and skipped.
func (l *Leader) applyWrite(key string, value json.RawMessage, revision uint64) {
	var err error
	switch {
	case strings.HasPrefix(key, runPrefix):
		var record runRecord
		if err = json.Unmarshal(value, &record); err == nil {
			l.applyRunRecord(key[len(runPrefix):], record, revision)
		}
	case strings.HasPrefix(key, finalPrefix):
		var record runRecord
		if err = json.Unmarshal(value, &record); err == nil {
			l.finalRuns.Add(key[len(finalPrefix):], record)
		}
	case strings.HasPrefix(key, groupPrefix):
		var owner groupOwner
		if err = json.Unmarshal(value, &owner); err == nil && l.resourceGroups[key].revision < revision {
			l.resourceGroups[key] = resourceGroup{groupOwner: owner, revision: revision}
		}
	case strings.HasPrefix(key, schedulePrefix):
		err = l.applyScheduleRecord(key, value, revision)
	}
	if err != nil {
		l.log.Error("record cannot be read", "key", key, "error", err)
	}
}

// applyDelete applies the deletion of a record at a revision.
func (l *Leader) applyDelete(key string, revision uint64) {
	switch {
	case strings.HasPrefix(key, runPrefix):
		id := key[len(runPrefix):]
		if run := l.runs[id]; run != nil && run.revision <= revision {
			delete(l.runs, id)
		}
	case strings.HasPrefix(key, groupPrefix):
		if l.resourceGroups[key].revision <= revision {
			delete(l.resourceGroups, key)
		}
	case strings.HasPrefix(key, schedulePrefix):
		if schedule := l.schedules[key]; schedule != nil && schedule.revision <= revision {
			delete(l.schedules, key)
		}
	}
}

// applyRunRecord applies an unfinished run's record. If this controller leads the run, its progress
// in memory is newer than that in any record. In this case, only users' requests are taken from
// the record, since any controller may have written them.
func (l *Leader) applyRunRecord(id string, record runRecord, revision uint64) {
	run := l.runs[id]
	if run == nil {
		run = &runState{id: id, observations: map[string]pipelineexec.Observation{}}
		l.runs[id] = run
	}
	if run.revision >= revision {
		return
	}
	run.record, run.revision = record, revision
	switch {
	case run.execution == nil:
	case run.epoch == 0:
		run.execution = nil // restored from the record when needed
	default:
		if !run.isFindingSubmitted {
			run.execution.CancelMode = record.CancelMode
		}
		for _, job := range record.Progress.ManuallyStarted {
			run.execution.JobStates[job].ManuallyStarted = true
		}
	}
}
